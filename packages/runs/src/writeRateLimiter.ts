import { MS_PER_SECOND } from '@lovagearch/common';
import { MAX_BATCH_DELAY_MS, MAX_WRITES_PER_SECOND, MIN_BATCH_DELAY_MS } from './constants.js';

/** The times of the last writes of a shard; it sets how long records wait for each other. */
export class WriteRateLimiter {
  private readonly writeTimesMs: number[] = [];

  static create(): WriteRateLimiter {
    return new WriteRateLimiter();
  }

  /** Records that a write starts now. */
  recordWrite(nowMs: number): void {
    this.writeTimesMs.push(nowMs);
    if (this.writeTimesMs.length > MAX_WRITES_PER_SECOND) this.writeTimesMs.shift();
  }

  /**
   * Computes how long the next write waits, in milliseconds: 25 ms for a quiet shard, growing with
   * the writes of the last second to 250 ms, and never more than 4 writes in any second.
   */
  computeDelayMs(nowMs: number): number {
    const recent = this.writeTimesMs.filter((atMs) => nowMs - atMs < MS_PER_SECOND);
    const share = recent.length / MAX_WRITES_PER_SECOND;
    const batchMs = MIN_BATCH_DELAY_MS + (MAX_BATCH_DELAY_MS - MIN_BATCH_DELAY_MS) * share;
    const [oldest] = recent;
    if (oldest === undefined || recent.length < MAX_WRITES_PER_SECOND) return batchMs;
    return Math.max(batchMs, oldest + MS_PER_SECOND - nowMs);
  }
}
