import { BoundedMap } from '@lovagearch/common';

/** Weight of a new response in the moving averages. */
const EWMA_WEIGHT = 0.1;
/** Mean deviations above the mean within which responses usually end. */
const USUAL_DEVIATIONS = 2;
/** Forecast duration of a request of which only the time in progress is known, as a multiple of that time. */
const IN_PROGRESS_FACTOR = 2;
/** Maximum number of routes. */
const MAX_ROUTES = 4_096;

interface DurationEstimate {
  readonly meanMs: number;
  readonly deviationMs: number;
}

const computeUsualMs = ({ meanMs, deviationMs }: DurationEstimate): number =>
  meanMs + deviationMs * USUAL_DEVIATIONS;

/**
 * Estimates how long responses of each route usually take.
 *
 * @example
 * durations.recordResponse('summary', 1_850);
 * const usualMs = durations.getUsualMs('summary', clock.nowMs());
 */
export class RouteDurations {
  private readonly estimates = BoundedMap.create<string, DurationEstimate>(MAX_ROUTES);

  /** Arrival of the oldest request in progress of each route without a response. */
  private readonly firstArrivals = BoundedMap.create<string, number>(MAX_ROUTES);

  static create(): RouteDurations {
    return new RouteDurations();
  }

  /** @param arrivedAtMs reading of the clock at the arrival of a request that is taken */
  recordArrival(route: string, arrivedAtMs: number): void {
    if (this.estimates.has(route) || this.firstArrivals.has(route)) return;
    this.firstArrivals.set(route, arrivedAtMs);
  }

  /** Records that a request ended without a complete response. */
  recordFailure(route: string, arrivedAtMs: number): void {
    if (this.firstArrivals.peek(route) === arrivedAtMs) this.firstArrivals.delete(route);
  }

  /** @param durationMs time from the arrival of the request to the end of its response, in milliseconds */
  recordResponse(route: string, durationMs: number): void {
    this.firstArrivals.delete(route);
    const known = this.estimates.peek(route) ?? {
      meanMs: durationMs,
      deviationMs: durationMs / 2,
    };
    const differenceMs = durationMs - known.meanMs;
    this.estimates.set(route, {
      meanMs: known.meanMs + differenceMs * EWMA_WEIGHT,
      deviationMs: known.deviationMs + (Math.abs(differenceMs) - known.deviationMs) * EWMA_WEIGHT,
    });
  }

  /**
   * Returns the time within which responses usually end, in milliseconds. A route without a response counts as the
   * slowest one with some, or as slower if a request of it has been in progress for long; undefined if no route has a
   * response.
   */
  getUsualMs(route: string, nowMs: number): number | undefined {
    const estimate = this.estimates.peek(route);
    if (estimate !== undefined) return computeUsualMs(estimate);
    let slowestMs: number | undefined;
    for (const known of this.estimates.values())
      slowestMs = Math.max(slowestMs ?? 0, computeUsualMs(known));
    if (slowestMs === undefined) return undefined;
    const inProgressMs = nowMs - (this.firstArrivals.peek(route) ?? nowMs);
    return Math.max(slowestMs, inProgressMs * IN_PROGRESS_FACTOR);
  }
}
