import { HOUSEKEEPING_INTERVAL_MS, LOGGED_EVENT_LOOP_DELAY_MS } from './constants.js';

const US_PER_MS = 1_000;

/** One tick of the monitor's timer. */
export interface EventLoopTick {
  /** How late the tick is, in milliseconds. */
  readonly delayMs: number;
  /**
   * Processor time of the process since the tick before, in milliseconds. With less than the delay, the process did not
   * work all the while: it waited for a core or a disk, or was stopped.
   */
  readonly processorMs: number;
}

/** Returns the processor time that this process has used, in milliseconds. */
export const readProcessorMs = (): number => {
  const { user, system } = process.cpuUsage();
  return (user + system) / US_PER_MS;
};

/**
 * Knows how late this process reads from its connections. A request that is read after a delay of the event loop may
 * have arrived at its beginning, and its time runs from then.
 *
 * @example
 * setInterval(() => monitor.recordTick(clock.nowMs(), readProcessorMs()), HOUSEKEEPING_INTERVAL_MS);
 * const arrivedAtMs = clock.nowMs() - monitor.getReadDelayMs(clock.nowMs());
 */
export class EventLoopMonitor {
  private lastDelayMs = 0;

  private constructor(
    private lastTickMs: number,
    private lastProcessorMs: number,
  ) {}

  /** Takes readings of the clock and of the processor time of the process, in milliseconds. */
  static create(nowMs: number, processorMs: number): EventLoopMonitor {
    return new EventLoopMonitor(nowMs, processorMs);
  }

  /** Begins to measure, with the same readings as `create`: nothing was read from callers before. */
  start(nowMs: number, processorMs: number): void {
    this.lastTickMs = nowMs;
    this.lastProcessorMs = processorMs;
    this.lastDelayMs = 0;
  }

  /** Records a tick of a timer with the housekeeping interval, with the same readings as `create`. */
  recordTick(nowMs: number, processorMs: number): EventLoopTick {
    this.lastDelayMs = Math.max(0, nowMs - this.lastTickMs - HOUSEKEEPING_INTERVAL_MS);
    const usedProcessorMs = processorMs - this.lastProcessorMs;
    this.lastTickMs = nowMs;
    this.lastProcessorMs = processorMs;
    return { delayMs: this.lastDelayMs, processorMs: usedProcessorMs };
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
