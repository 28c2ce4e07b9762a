import { SlidingWindowRetryBudget } from '@lovagearch/admission';
import { BoundedMap } from '@lovagearch/common';
import {
  computeHedgeDelayMs,
  computeHedgeQuantile,
  LatenessDistribution,
  type SendsInProgress,
} from '@lovagearch/exchange';

/**
 * Window in which a service's hedges are counted against its requests, in seconds. A node sends a service a few
 * requests a second, so that a share of some percent allows no whole hedge in a window of 10 s.
 */
const SHARE_WINDOW_S = 60;
/** Routes and endpoints whose distributions are kept; one takes 400 bytes. */
const MAX_DISTRIBUTIONS = 1_024;
/** Minimum forecast to which a response time is related, in milliseconds. */
const MIN_EXPECTED_MS = 1;

/** Share of hedges among the requests of each service, from 0 to 0.2; `*` stands for all other services. */
export type HedgingShares = ReadonlyMap<string, number>;
/** Key of the share of services without a share of their own. */
export const ANY_SERVICE = '*';

/** A send whose response time is compared with its forecast. */
export interface ForecastSend {
  readonly service: string;
  readonly route: string;
  /** Identifies one start of an endpoint's process. */
  readonly endpointStart: string;
  readonly expectedMs: number;
}

interface WatchedSend {
  readonly zone: string;
  readonly dueAtMs: number;
}

/**
 * What this node knows for hedging: how late responses usually are, which sends are in progress, and how many hedges
 * each service has left. It exists only if hedging is switched on.
 *
 * @example
 * const hedging = Hedging.create(new Map([['app', 0.05]]));
 * const delayMs = hedging.getDelayMs(send, clock.nowMs());
 */
export class Hedging {
  private readonly routes = BoundedMap.create<string, LatenessDistribution>(MAX_DISTRIBUTIONS);

  private readonly endpoints = BoundedMap.create<string, LatenessDistribution>(MAX_DISTRIBUTIONS);

  private readonly budgets = new Map<string, SlidingWindowRetryBudget>();

  private readonly watched = new Set<WatchedSend>();

  private constructor(private readonly shares: HedgingShares) {}

  static create(shares: HedgingShares): Hedging {
    return new Hedging(shares);
  }

  /** Whether requests of a service may be hedged at all. */
  isEnabled(service: string): boolean {
    return this.getShare(service) > 0;
  }

  /** Records a request of a service, whether it may be hedged or not. */
  recordRequest(service: string, nowMs: number): void {
    this.getBudget(service).recordRequest(nowMs);
  }

  hasShare(service: string, nowMs: number): boolean {
    return this.getBudget(service).hasRetry(1, nowMs);
  }

  /** Takes a hedge from the service's share. */
  takeShare(service: string, nowMs: number): void {
    this.getBudget(service).tryTake(1, nowMs);
  }

  /** Records how long an endpoint took to respond, or has taken at least. */
  recordResponse(send: ForecastSend, elapsedMs: number, nowMs: number): void {
    const ratio = elapsedMs / Math.max(MIN_EXPECTED_MS, send.expectedMs);
    const known = [
      [this.routes, send.route],
      [this.endpoints, send.endpointStart],
    ] as const;
    for (const [distributions, key] of known) {
      const distribution = distributions.get(key) ?? LatenessDistribution.create();
      distribution.recordSample(ratio, nowMs);
      distributions.set(key, distribution);
    }
  }

  /** Returns the time after which a send is late, in milliseconds; undefined if too few responses are known. */
  getDelayMs(send: ForecastSend, nowMs: number): number | undefined {
    const quantile = computeHedgeQuantile(this.getShare(send.service));
    const routeRatio = this.routes.peek(send.route)?.getQuantile(quantile, nowMs);
    if (routeRatio === undefined) return undefined;
    const endpointRatio = this.endpoints.peek(send.endpointStart)?.getQuantile(quantile, nowMs);
    const expectedMs = Math.max(MIN_EXPECTED_MS, send.expectedMs);
    return computeHedgeDelayMs(expectedMs, routeRatio, endpointRatio);
  }

  /** Counts a first send as in progress until the returned function is called. */
  watchSend(zone: string, dueAtMs: number): () => void {
    const watchedSend = { zone, dueAtMs };
    this.watched.add(watchedSend);
    return () => {
      this.watched.delete(watchedSend);
    };
  }

  countInProgress(nowMs: number): SendsInProgress {
    const zones = new Set<string>();
    const lateZones = new Set<string>();
    let late = 0;
    for (const { zone, dueAtMs } of this.watched) {
      zones.add(zone);
      if (dueAtMs > nowMs) continue;
      late += 1;
      lateZones.add(zone);
    }
    return { total: this.watched.size, late, zones: zones.size, lateZones: lateZones.size };
  }

  private getShare(service: string): number {
    return this.shares.get(service) ?? this.shares.get(ANY_SERVICE) ?? 0;
  }

  private getBudget(service: string): SlidingWindowRetryBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) return known;
    const created = SlidingWindowRetryBudget.create({
      ratio: this.getShare(service),
      slack: 0,
      windowS: SHARE_WINDOW_S,
    });
    this.budgets.set(service, created);
    return created;
  }
}
