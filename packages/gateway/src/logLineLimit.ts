import { type Clock, MS_PER_SECOND } from '@lovagearch/common';

/**
 * Limits log lines to a number per second.
 *
 * @example
 * const limit = LogLineLimit.create(150, clock, (lines) => logger.warn({ lines }, 'suppressed'));
 * if (limit.tryTake()) logger.info(fields, event);
 */
export class LogLineLimit {
  private currentSecond = 0;

  private lines = 0;

  private suppressed = 0;

  private constructor(
    private readonly maxLinesPerSecond: number,
    private readonly clock: Clock,
    private readonly onSuppressed: (lines: number) => void,
  ) {}

  /** @param onSuppressed called in the first line of a later second with the number of lines suppressed before */
  static create(
    maxLinesPerSecond: number,
    clock: Clock,
    onSuppressed: (lines: number) => void,
  ): LogLineLimit {
    return new LogLineLimit(maxLinesPerSecond, clock, onSuppressed);
  }

  /** Counts a line and returns whether it may be written. */
  tryTake(): boolean {
    const second = Math.floor(this.clock.nowMs() / MS_PER_SECOND);
    if (second !== this.currentSecond) {
      if (this.suppressed > 0) this.onSuppressed(this.suppressed);
      this.currentSecond = second;
      this.lines = 0;
      this.suppressed = 0;
    }
    this.lines += 1;
    if (this.lines <= this.maxLinesPerSecond) return true;
    this.suppressed += 1;
    return false;
  }
}
