import type { LessUrgentWork, UrgentDemand } from './demandMeters.js';

/**
 * Maximum forecast latency by priority, as a share of the target latency. Under sustained overload
 * the least urgent requests are refused first, so that the others still meet their target.
 */
const LATENCY_LIMIT_SHARES_BY_PRIORITY = [1.1, 1, 0.8] as const;
/** Bounds of the retry-after delay before jitter, in milliseconds. */
const MIN_RETRY_DELAY_MS = 250;
const MAX_RETRY_DELAY_MS = 4_000;
/** Maximum retry-after delay as a share of the request's remaining time. */
const MAX_RETRY_DELAY_SHARE = 1 / 3;
/** Width of the jitter as a share of the delay; it spreads the retries of callers refused together. */
const RETRY_JITTER_SHARE = 0.4;
/**
 * Wait at which refused requests return, as a share of the latency limit. Returns at the full limit of 408 ms met
 * longer queues than forecast, and a quarter of them were late or refused again.
 */
const RETURN_WAIT_SHARE = 0.5;
/** Wait up to which an endpoint has free capacity, in milliseconds: about the prefill of one average prompt. */
export const FREE_CAPACITY_WAIT_MS = 25;
/** Share of the wait limit of urgent kinds that less urgent ones may fill. */
const LESS_URGENT_WAIT_SHARE = 0.6;
/**
 * Share of the wait limit up to which requests of an account above its fair share are admitted. It is larger than
 * that of less urgent kinds, so that an urgent request is never refused where a less urgent one is admitted.
 */
const OVER_SHARE_WAIT_SHARE = 0.7;

/** How long a request may wait at this node. */
export interface HoldForecast {
  /** Time to send the requests that wait before it. */
  readonly aheadMs: number;
  /** Time from its arrival until its caller gives up without an event. */
  readonly patienceMs: number;
}

export interface AdmissionInput {
  /** Forecast time to the first byte at the best endpoint, in milliseconds. */
  readonly expectedMs: number;
  /** Part of the forecast without queueing: the processing time of the request itself. */
  readonly ownMs: number;
  readonly targetLatencyMs: number;
  /** Time since the request arrived. */
  readonly elapsedMs: number;
  readonly remainingMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** A number from 0 (included) to 1 (excluded). */
  readonly randomFraction: number;
  /** Usual `ownMs` of the kind; a larger request may wait as long as a usual one. */
  readonly typicalOwnMs?: number | undefined;
  /** Demand of more urgent kinds of the service, if there are any. */
  readonly urgent?: UrgentDemand | undefined;
  /** Less urgent work in the queue, if the endpoint starts urgent requests first. */
  readonly lessUrgent?: LessUrgentWork | undefined;
  /** Whether more work of the account than its fair share was admitted. */
  readonly isOverShare?: boolean;
  /** Whether the request waited at this node. */
  readonly isHeld?: boolean;
  /** Undefined if the request can't wait at this node. */
  readonly hold?: HoldForecast | undefined;
}

/** `order`: others wait at this node already; `share`: the account has had more than its fair share. */
export type RefusalReason = 'headroom' | 'hopeless' | 'late' | 'order' | 'share';

export type AdmissionDecision = (
  | { readonly type: 'admit' }
  | {
      /** Wait at this node for room at an endpoint. */
      readonly type: 'hold';
      readonly reason: RefusalReason;
      readonly drainMs: number;
    }
  | {
      readonly type: 'refuse';
      readonly retryAfterMs: number;
      /** Time until the wait is well within the request's limit if the queue drains and gets no other work. */
      readonly drainMs: number;
      readonly reason: RefusalReason;
    }
) & {
  /** Wait that can be added before urgent kinds are late, in milliseconds; undefined if there are none. */
  readonly headroomMs: number | undefined;
};

const computeRetryAfterMs = (input: AdmissionInput): number => {
  const waitMs = Math.max(0, input.expectedMs - input.ownMs);
  const excessMs = Math.min(
    MAX_RETRY_DELAY_MS,
    Math.max(MIN_RETRY_DELAY_MS, waitMs - input.targetLatencyMs / 2),
  );
  const jitteredMs =
    excessMs * (1 - RETRY_JITTER_SHARE / 2 + RETRY_JITTER_SHARE * input.randomFraction);
  return Math.min(jitteredMs, input.remainingMs * MAX_RETRY_DELAY_SHARE);
};

/** Computes the maximum forecast latency of a request of a priority, in milliseconds. */
export const computeLatencyLimitMs = (targetLatencyMs: number, priority: number): number =>
  targetLatencyMs *
  (LATENCY_LIMIT_SHARES_BY_PRIORITY[
    Math.min(priority, LATENCY_LIMIT_SHARES_BY_PRIORITY.length - 1)
  ] ?? 1);

/** Computes the wait of a request, which may overtake the less urgent part of the queue, in milliseconds. */
const computeWaitMs = ({ expectedMs, ownMs, lessUrgent }: AdmissionInput): number => {
  const queueMs = expectedMs - ownMs;
  if (lessUrgent === undefined) return queueMs;
  return Math.min(queueMs, queueMs * (1 - lessUrgent.share) + lessUrgent.longestOwnMs);
};

/**
 * Computes the wait that can be added at an endpoint before urgent requests are late. Urgent requests that arrive while
 * the present queue and the request itself are worked off wait behind them and behind each other.
 */
const computeHeadroomMs = (
  waitMs: number,
  ownMs: number,
  { waitLimitMs, load }: UrgentDemand,
  isOverShare: boolean,
): number => {
  const share = LESS_URGENT_WAIT_SHARE * (isOverShare ? OVER_SHARE_WAIT_SHARE : 1);
  return waitLimitMs * share - waitMs - load * (waitMs + ownMs);
};

/**
 * Decides whether a request joins the queue of its best endpoint. Without admission control a queue
 * can grow until every response is late although the endpoints are fully utilized. Requests that
 * would be late are therefore refused immediately, with a retry-after delay. Requests of a service with more urgent
 * kinds wait at this node instead if their callers still wait when there is room.
 *
 * A request whose processing time alone exceeds the target is admitted while the queueing delay is
 * small, because a retry would not make it faster.
 *
 * @example
 * const decision = decideAdmission(input);
 * if (decision.type === 'refuse') return refuse(decision.retryAfterMs);
 */
export const decideAdmission = (input: AdmissionInput): AdmissionDecision => {
  const { ownMs, targetLatencyMs, elapsedMs, remainingMs, urgent, hold } = input;
  const limitMs = computeLatencyLimitMs(targetLatencyMs, input.priority);
  const waitMs = computeWaitMs(input);
  const expectedMs = waitMs + ownMs;
  const limitedOwnMs = Math.min(ownMs, input.typicalOwnMs ?? ownMs);
  const waitLimitMs = Math.max(limitMs / 2, limitMs - limitedOwnMs - elapsedMs);
  const headroomMs =
    urgent && computeHeadroomMs(waitMs, limitedOwnMs, urgent, input.isOverShare ?? false);
  const findReason = (): RefusalReason | undefined => {
    if (expectedMs > remainingMs) return 'hopeless';
    if (waitMs > waitLimitMs) return 'late';
    if (waitMs <= FREE_CAPACITY_WAIT_MS) return undefined;
    // A late response is worth less than those in time that it would delay.
    if (input.isHeld && expectedMs + elapsedMs > targetLatencyMs) return 'late';
    if (headroomMs !== undefined && headroomMs < 0) return 'headroom';
    if (urgent !== undefined && !input.isHeld && hold !== undefined && hold.aheadMs > 0)
      return 'order';
    if (input.isOverShare && waitMs > waitLimitMs * OVER_SHARE_WAIT_SHARE) return 'share';
    return undefined;
  };
  const reason = findReason();
  if (reason === undefined) return { type: 'admit', headroomMs };
  const drainMs = Math.max(0, waitMs - limitMs * RETURN_WAIT_SHARE, -(headroomMs ?? 0));
  if (urgent !== undefined && hold !== undefined && reason !== 'hopeless') {
    const timeLeftMs = Math.min(hold.patienceMs - elapsedMs, remainingMs);
    const forecastMs = drainMs + hold.aheadMs + ownMs + (waitMs - Math.min(waitMs, drainMs));
    if (forecastMs < timeLeftMs) return { type: 'hold', reason, drainMs, headroomMs };
  }
  const retryAfterMs = computeRetryAfterMs(input);
  return { type: 'refuse', reason, retryAfterMs, drainMs, headroomMs };
};
