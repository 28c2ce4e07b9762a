import { HOUSEKEEPING_INTERVAL_MS, LOGGED_EVENT_LOOP_DELAY_MS } from './constants.js';

/**
 * Knows how late this process reads from its connections. A request that is read after a delay of the event loop may
 * have arrived at its beginning, and its time runs from then.
 *
 * @example
 * setInterval(() => monitor.recordTick(clock.nowMs()), HOUSEKEEPING_INTERVAL_MS);
 * const arrivedAtMs = clock.nowMs() - monitor.getReadDelayMs(clock.nowMs());
 */
export class EventLoopMonitor {
  private lastDelayMs = 0;

  private constructor(private lastTickMs: number) {}

  static create(nowMs: number): EventLoopMonitor {
    return new EventLoopMonitor(nowMs);
  }

  /** Begins to measure: nothing was read from callers before. */
  start(nowMs: number): void {
    this.lastTickMs = nowMs;
    this.lastDelayMs = 0;
  }

  /** Records a tick of a timer with the housekeeping interval; returns how late it is, in milliseconds. */
  recordTick(nowMs: number): number {
    this.lastDelayMs = Math.max(0, nowMs - this.lastTickMs - HOUSEKEEPING_INTERVAL_MS);
    this.lastTickMs = nowMs;
    return this.lastDelayMs;
  }

  /** Returns how long ago a request that is read now may have arrived, in milliseconds; 0 without a delay. */
  getReadDelayMs(nowMs: number): number {
    const overdueMs = Math.max(0, nowMs - this.lastTickMs - HOUSEKEEPING_INTERVAL_MS);
    let delayMs = 0;
    for (const partMs of [this.lastDelayMs, overdueMs])
      if (partMs >= LOGGED_EVENT_LOOP_DELAY_MS) delayMs += partMs;
    return delayMs;
  }
}
