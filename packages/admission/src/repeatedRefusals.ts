import { BoundedMap } from '@lovagearch/common';

/** Maximum number of refusals that are remembered. */
const MAX_REFUSALS = 4_096;
/** Share of the delay after which a return counts as on time; clocks and timers of callers differ. */
const ON_TIME_SHARE = 0.9;

/**
 * Recent refusals by request. A caller that repeats a request before the time that it was told gets the same answer
 * again: it neither takes the place of those that wait nor counts as demand, and no endpoint is compared for it.
 *
 * @example
 * const remainingMs = refusals.findRemainingMs(key, nowMs);
 * if (remainingMs !== undefined) return refuse(remainingMs);
 */
export class RepeatedRefusals {
  private readonly returns = BoundedMap.create<string, { onTimeAtMs: number; atMs: number }>(
    MAX_REFUSALS,
  );

  static create(): RepeatedRefusals {
    return new RepeatedRefusals();
  }

  get isEmpty(): boolean {
    return this.returns.size === 0;
  }

  record(key: string, delayMs: number, nowMs: number): void {
    this.returns.set(key, { onTimeAtMs: nowMs + delayMs * ON_TIME_SHARE, atMs: nowMs + delayMs });
  }

  /** Returns the time until a refused request may return; undefined if it may now. */
  findRemainingMs(key: string, nowMs: number): number | undefined {
    const known = this.returns.peek(key);
    if (known === undefined) return undefined;
    if (nowMs < known.onTimeAtMs) return known.atMs - nowMs;
    this.returns.delete(key);
    return undefined;
  }
}
