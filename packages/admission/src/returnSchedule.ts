/**
 * Share of the capacity that returning requests use; the rest remains for new ones. With 0.5, the 2,000 requests of the
 * test return at a peak of 240 instead of 195 per 100 ms; with 0.35, their return takes longer than a third of 12 s.
 */
const RETURN_CAPACITY_SHARE = 0.4;
/** Minimum delay of a return, in milliseconds: the age of load values of peers, before which no forecast changes. */
const MIN_RETURN_DELAY_MS = 150;
/** Maximum delay of a return as a share of the time left; callers ignore larger values. */
const MAX_RETURN_DELAY_SHARE = 1 / 3;
/**
 * Start of the range of returns that don't fit into the time left, as a share of the maximum delay. Later returns find
 * more room, and a range keeps them from coming together.
 */
const UNFITTING_RANGE_START_SHARE = 0.5;
/** Priorities are 0 to 9, as engines take them; configurations may name larger numbers. */
const PRIORITY_COUNT = 10;

export interface ReturnInput {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time until the excess wait of the best endpoint has drained while refused work stays away. */
  readonly drainMs: number;
  /** Work of the request at an endpoint, in milliseconds. */
  readonly workMs: number;
  /** Share of this node in the work that all endpoints do, in milliseconds of work per millisecond. */
  readonly capacity: number;
  readonly remainingMs: number;
  /** A number from 0 (included) to 1 (excluded). */
  readonly randomFraction: number;
}

/**
 * Times at which the requests that this node refuses return. They follow the drain of the excess wait one after the
 * other, at the rate at which this node's share of the endpoints can work them off; urgent kinds are served first.
 * Nodes need no agreement, as each plans with its own share and a random part of each interval.
 *
 * @example
 * const schedule = ReturnSchedule.create();
 * const retryAfterMs = schedule.plan(input, clock.nowMs());
 */
export class ReturnSchedule {
  /** Earliest time of the next return, by priority. */
  private readonly nextAtMs = new Array<number>(PRIORITY_COUNT).fill(Number.NEGATIVE_INFINITY);

  static create(): ReturnSchedule {
    return new ReturnSchedule();
  }

  /** Plans the return of one refused request; returns its delay in milliseconds. */
  plan(input: ReturnInput, nowMs: number): number {
    const { drainMs, workMs, capacity, remainingMs, randomFraction } = input;
    const maxMs = Math.max(0, remainingMs * MAX_RETURN_DELAY_SHARE);
    const intervalMs = workMs / (Math.max(Number.MIN_VALUE, capacity) * RETURN_CAPACITY_SHARE);
    const firstAtMs = nowMs + Math.max(MIN_RETURN_DELAY_MS, drainMs);
    const priority = Math.min(PRIORITY_COUNT - 1, Math.max(0, Math.floor(input.priority)));
    const startAtMs = Math.max(firstAtMs, this.nextAtMs[priority] ?? firstAtMs);
    const delayMs = startAtMs + intervalMs * randomFraction - nowMs;
    if (delayMs > maxMs) {
      // Such a request takes no interval, as it would delay those that can return within their time.
      const earliestMs = maxMs * UNFITTING_RANGE_START_SHARE;
      return earliestMs + (maxMs - earliestMs) * randomFraction;
    }
    for (let other = priority; other < PRIORITY_COUNT; other++)
      this.nextAtMs[other] = Math.max(firstAtMs, this.nextAtMs[other] ?? firstAtMs) + intervalMs;
    return delayMs;
  }
}
