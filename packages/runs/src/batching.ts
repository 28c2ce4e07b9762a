import { MS_PER_SECOND } from '@lovagearch/common';
import { MAX_BATCH_MS, MAX_WRITES_PER_SECOND, MIN_BATCH_MS } from './constants.js';

/** The times of the last writes of a shard; it sets how long records wait for each other. */
export class WritePace {
  private readonly writes: number[] = [];

  static create(): WritePace {
    return new WritePace();
  }

  /** Records that a write starts now. */
  recordWrite(nowMs: number): void {
    this.writes.push(nowMs);
    if (this.writes.length > MAX_WRITES_PER_SECOND) this.writes.shift();
  }

  /**
   * Computes how long the next write waits, in milliseconds: 25 ms for a quiet shard, growing with
   * the writes of the last second to 250 ms, and never more than 4 writes in any second.
   */
  computeDelayMs(nowMs: number): number {
    const recent = this.writes.filter((atMs) => nowMs - atMs < MS_PER_SECOND);
    const share = recent.length / MAX_WRITES_PER_SECOND;
    const batchMs = MIN_BATCH_MS + (MAX_BATCH_MS - MIN_BATCH_MS) * share;
    const [oldest] = recent;
    if (oldest === undefined || recent.length < MAX_WRITES_PER_SECOND) return batchMs;
    return Math.max(batchMs, oldest + MS_PER_SECOND - nowMs);
  }
}
