import type { Clock } from './clock.js';

interface Timer {
  readonly atMs: number;
  readonly resolve: () => void;
}

/**
 * A clock with timers for simulations and tests: timers end in the order of their time, and no real time
 * passes.
 *
 * @example
 * const time = SimulatedTime.create();
 * void follow(time.wait);
 * await time.runUntil(10_000);
 */
export class SimulatedTime implements Clock {
  private timers: Timer[] = [];

  private constructor(private currentMs: number) {}

  static create(startMs = 0): SimulatedTime {
    return new SimulatedTime(startMs);
  }

  readonly nowMs = (): number => this.currentMs;

  /** Resolves when the simulated time has advanced by a delay in milliseconds. */
  readonly wait = (delayMs: number): Promise<void> =>
    new Promise((resolve) => {
      this.timers.push({ atMs: this.currentMs + Math.max(0, delayMs), resolve });
      this.timers.sort((left, right) => left.atMs - right.atMs);
    });

  /** Ends all timers up to a point in time, including those that are set meanwhile. */
  async runUntil(endMs: number): Promise<void> {
    for (;;) {
      // Promises that the last timer resolved run on until they set their next timer.
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      const [next] = this.timers;
      if (next === undefined || next.atMs > endMs) break;
      this.timers = this.timers.slice(1);
      this.currentMs = next.atMs;
      next.resolve();
    }
    this.currentMs = endMs;
  }
}
