import type { Clock } from '@lovagearch/common';

/**
 * Time for which a reading counts, in milliseconds. Older ones are dropped, since the store's clock and
 * that of this process run at slightly different rates.
 */
const READING_LIFETIME_MS = 20_000;

/**
 * The store's clock, as known to this process from the store's responses. Unlike the clock of a process it
 * is common to all nodes and survives their restarts, so times of events that several nodes or several
 * starts of a node judge are given in it.
 *
 * The estimate never runs ahead of the store by more than the drift within the lifetime of a reading. It
 * lags by the time that the fastest recent response was in transit, and after a suspension of the VM until
 * the next response.
 *
 * @example
 * const storeClock = StoreClock.create(processClock);
 * storeClock.recordReading(response.nowMs);
 * const ageMs = (storeClock.nowMs() ?? Infinity) - committedAtMs;
 */
export class StoreClock {
  /** Largest difference to the clock of this process, in the present period and in the one before. */
  private currentOffsetMs: number | undefined;

  private previousOffsetMs: number | undefined;

  private periodStartMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly clock: Clock) {}

  /** @param clock monotonic clock of this process */
  static create(clock: Clock): StoreClock {
    return new StoreClock(clock);
  }

  /** Records a reading of the store's clock, in milliseconds, that a response carried which just arrived. */
  recordReading(storeMs: number): void {
    if (!Number.isFinite(storeMs)) return;
    const nowMs = this.clock.nowMs();
    const offsetMs = storeMs - nowMs;
    if (nowMs - this.periodStartMs >= READING_LIFETIME_MS / 2) {
      this.periodStartMs = nowMs;
      this.previousOffsetMs = this.currentOffsetMs;
      this.currentOffsetMs = offsetMs;
      return;
    }
    this.currentOffsetMs = Math.max(this.currentOffsetMs ?? offsetMs, offsetMs);
  }

  /** Estimates the store's clock now, in milliseconds; undefined before the first reading. */
  nowMs(): number | undefined {
    if (this.currentOffsetMs === undefined) return undefined;
    const offsetMs = Math.max(this.currentOffsetMs, this.previousOffsetMs ?? this.currentOffsetMs);
    return this.clock.nowMs() + offsetMs;
  }
}
