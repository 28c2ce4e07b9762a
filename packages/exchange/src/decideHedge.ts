/** Minimum quantile of the lateness from which a request is hedged: below it, usual responses would be doubled. */
const MIN_QUANTILE = 0.9;
/** Maximum quantile; a higher one needs more samples than a node gets within the decay of the distribution. */
const MAX_QUANTILE = 0.98;
/** Minimum time after which a request is hedged, in milliseconds; timers and networks vary by some milliseconds. */
const MIN_DELAY_MS = 10;
/**
 * Maximum lateness that an endpoint's own distribution adds, as a multiple of its route's. Without a bound, an
 * endpoint that often stands still would count as usual.
 */
const MAX_ENDPOINT_FACTOR = 2;
/** Delay of the event loop above which responses may wait unread in this process, in milliseconds. */
const MAX_EVENT_LOOP_DELAY_MS = 20;
/** Late sends from which their number and zones say something about the cause. */
const MIN_JUDGED_SENDS = 3;
/** Share of the sends in progress that may be late before this node or its link is taken for the cause. */
const MAX_LATE_SHARE = 0.25;
/** Queueing delay at the alternative above which the service is taken for overloaded, as a share of the target. */
const MAX_WAIT_SHARE = 0.25;

/** Why a late request is not hedged. */
export type HedgeSkipReason =
  | 'alternative_has_queue'
  | 'attempts_used_up'
  | 'caller_left'
  | 'crash_suspect'
  | 'many_late'
  | 'no_alternative'
  | 'not_repeatable'
  | 'overload'
  | 'response_started'
  | 'retry_budget_used_up'
  | 'share_used_up'
  | 'time_is_short'
  | 'vm_late'
  | 'zone_late';

/** Another endpoint for a late request, with its forecast. */
export interface HedgeAlternative {
  /** Expected time to the first byte, in milliseconds. */
  readonly expectedMs: number;
  /** The part of it that is queueing delay, in milliseconds. */
  readonly waitMs: number;
  /** Requests of all nodes that wait at the endpoint. */
  readonly queuedRequests: number;
}

/** The first sends of this node that are in progress. */
export interface SendsInProgress {
  readonly total: number;
  /** Those that are later than the quantile of their distribution. */
  readonly late: number;
  /** Number of availability zones of all of them, and of the late ones. */
  readonly zones: number;
  readonly lateZones: number;
}

export interface HedgeInput<Alternative extends HedgeAlternative> {
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
  readonly hasCallerLeft: boolean;
  /** Whether a part of a response has been sent to the caller: for streams, the first event. */
  readonly hasResponseStarted: boolean;
  /** Number of sends so far, including the one in progress. */
  readonly sends: number;
  readonly maxAttempts: number;
  /** How late this process reads from its connections, in milliseconds. */
  readonly eventLoopDelayMs: number;
  readonly inProgress: SendsInProgress;
  /** Whether the service's share of extra sends allows another one. */
  readonly hasShare: boolean;
  /** Whether the retry budget shared by all nodes allows another send. */
  readonly hasRetryBudget: boolean;
  /** Whether the request is quarantined or was in flight when an endpoint crashed. */
  readonly isSuspect: () => boolean;
  /** Places the request on another endpoint; not called if something else forbids the hedge. */
  readonly findAlternative: () => Alternative | undefined;
  readonly targetLatencyMs: number;
  /** Time to the end of the request's time limit, in milliseconds. */
  readonly remainingMs: number;
}

export type HedgeDecision<Alternative extends HedgeAlternative> =
  | { readonly type: 'hedge'; readonly alternative: Alternative }
  | { readonly type: 'skip'; readonly reason: HedgeSkipReason };

/**
 * Returns the quantile of the lateness from which a request is hedged, so that about as many requests are late as the
 * share allows.
 *
 * @param share share of extra sends, from 0 to 0.2
 */
export const computeHedgeQuantile = (share: number): number =>
  Math.min(MAX_QUANTILE, Math.max(MIN_QUANTILE, 1 - share));

/**
 * Returns the time after a send from which a request is late, in milliseconds. An endpoint that is usually later than
 * others of the route is a matter of its forecast rather than of single requests, so its own quantile counts if it is
 * larger.
 *
 * @param expectedMs forecast of the response time
 * @param routeRatio quantile of the route's response times, as a multiple of the forecast
 * @param endpointRatio the same of the endpoint; undefined if too few samples of it are known
 */
export const computeHedgeDelayMs = (
  expectedMs: number,
  routeRatio: number,
  endpointRatio: number | undefined,
): number => {
  const ratio = Math.max(
    routeRatio,
    Math.min(endpointRatio ?? 0, routeRatio * MAX_ENDPOINT_FACTOR),
  );
  return Math.max(MIN_DELAY_MS, expectedMs * ratio);
};

/** Returns why a delay is not one of a single endpoint, or undefined if it may be. */
const findCommonCause = <Alternative extends HedgeAlternative>({
  eventLoopDelayMs,
  inProgress: { total, late, zones, lateZones },
}: HedgeInput<Alternative>): HedgeSkipReason | undefined => {
  if (eventLoopDelayMs > MAX_EVENT_LOOP_DELAY_MS) return 'vm_late';
  if (late < MIN_JUDGED_SENDS) return undefined;
  if (late > total * MAX_LATE_SHARE) return 'many_late';
  return zones > 1 && lateZones === 1 ? 'zone_late' : undefined;
};

const skip = (reason: HedgeSkipReason) => ({ type: 'skip', reason }) as const;

/**
 * Decides whether a request that is late at its endpoint is sent to a second one as well. A hedge shortens the delay
 * of a single endpoint; where a cause that all share delays many requests, hedges would only add to it.
 *
 * @example
 * const decision = decideHedge(input);
 * if (decision.type === 'hedge') send(decision.alternative);
 */
export const decideHedge = <Alternative extends HedgeAlternative>(
  input: HedgeInput<Alternative>,
): HedgeDecision<Alternative> => {
  if (!input.isRepeatable) return skip('not_repeatable');
  if (input.hasCallerLeft) return skip('caller_left');
  if (input.hasResponseStarted) return skip('response_started');
  if (input.sends >= input.maxAttempts) return skip('attempts_used_up');
  const commonCause = findCommonCause(input);
  if (commonCause !== undefined) return skip(commonCause);
  if (!input.hasShare) return skip('share_used_up');
  if (!input.hasRetryBudget) return skip('retry_budget_used_up');
  if (input.isSuspect()) return skip('crash_suspect');
  const alternative = input.findAlternative();
  if (alternative === undefined) return skip('no_alternative');
  if (alternative.expectedMs >= input.remainingMs) return skip('time_is_short');
  if (alternative.waitMs > input.targetLatencyMs * MAX_WAIT_SHARE) return skip('overload');
  if (alternative.queuedRequests > 0) return skip('alternative_has_queue');
  return { type: 'hedge', alternative };
};
