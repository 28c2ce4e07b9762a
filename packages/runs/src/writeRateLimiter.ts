import { MS_PER_SECOND } from '@lovagearch/common';
import { MAX_BATCH_DELAY_MS, MAX_WRITES_PER_SECOND, MIN_BATCH_DELAY_MS } from './constants.js';

/** Limits the write rate of a shard and sets how long its records wait to be batched. */
export class WriteRateLimiter {
  private readonly writeTimesMs: number[] = [];

  static create(): WriteRateLimiter {
    return new WriteRateLimiter();
  }

  /** Records the start of a write. */
  recordWrite(nowMs: number): void {
    this.writeTimesMs.push(nowMs);
    if (this.writeTimesMs.length > MAX_WRITES_PER_SECOND) this.writeTimesMs.shift();
  }

  /**
   * Computes the delay before the next write, in milliseconds. It grows with the number of writes in
   * the last second, from 25 ms for an idle shard to 250 ms, and is longer if the write would
   * otherwise exceed the limit of 4 writes in any second.
   */
  computeDelayMs(nowMs: number): number {
    const recent = this.writeTimesMs.filter((writeMs) => nowMs - writeMs < MS_PER_SECOND);
    const utilization = recent.length / MAX_WRITES_PER_SECOND;
    const batchDelayMs =
      MIN_BATCH_DELAY_MS + (MAX_BATCH_DELAY_MS - MIN_BATCH_DELAY_MS) * utilization;
    const [oldest] = recent;
    if (oldest === undefined || recent.length < MAX_WRITES_PER_SECOND) return batchDelayMs;
    return Math.max(batchDelayMs, oldest + MS_PER_SECOND - nowMs);
  }
}
