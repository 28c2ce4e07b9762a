/**
 * Reads monotonic time in milliseconds. Readings of different processes are not comparable.
 *
 * @example
 * const startMs = clock.nowMs();
 * const elapsedMs = clock.nowMs() - startMs;
 */
export interface Clock {
  readonly nowMs: () => number;
}

/** Monotonic time of this process. */
export const processClock: Clock = { nowMs: () => performance.now() };

/** A clock for tests that only advances when told to. */
export class ManualClock implements Clock {
  private constructor(private currentMs: number) {}

  static create(startMs = 0): ManualClock {
    return new ManualClock(startMs);
  }

  readonly nowMs = (): number => this.currentMs;

  /** Moves the clock forward by a number of milliseconds. */
  addMs(deltaMs: number): void {
    this.currentMs += deltaMs;
  }
}
