import { OBSERVED_WAIT_DECAY_MS } from './constants.js';

/**
 * Moving average of delays that fades while no further one is recorded.
 *
 * @example
 * waits.record(waitMs, WAIT_EWMA_WEIGHT, clock.nowMs());
 * const waitMs = waits.estimate(clock.nowMs());
 */
export class DecayingAverage {
  private averageMs = 0;

  private atMs = Number.NEGATIVE_INFINITY;

  static create(): DecayingAverage {
    return new DecayingAverage();
  }

  /** @param weight weight of the delay in the average, from 0 to 1 */
  record(delayMs: number, weight: number, nowMs: number): void {
    const previousMs = this.estimate(nowMs);
    this.averageMs = previousMs + (delayMs - previousMs) * weight;
    this.atMs = nowMs;
  }

  estimate(nowMs: number): number {
    return this.averageMs * Math.exp(-(nowMs - this.atMs) / OBSERVED_WAIT_DECAY_MS);
  }
}
