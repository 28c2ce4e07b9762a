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
}

export type AdmissionDecision =
  | { readonly type: 'admit' }
  | {
      readonly type: 'refuse';
      readonly retryAfterMs: number;
      /** Time until the wait is well within the request's limit if the queue drains and gets no other work. */
      readonly drainMs: number;
      readonly reason: 'late' | 'hopeless';
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

/**
 * Decides whether a request joins the queue of its best endpoint. Without admission control a queue
 * can grow until every response is late although the endpoints are fully utilized. Requests that
 * would be late are therefore refused immediately, with a retry-after delay.
 *
 * A request whose processing time alone exceeds the target is admitted while the queueing delay is
 * small, because a retry would not make it faster.
 *
 * @example
 * const decision = decideAdmission(input);
 * if (decision.type === 'refuse') return refuse(decision.retryAfterMs);
 */
export const decideAdmission = (input: AdmissionInput): AdmissionDecision => {
  const { expectedMs, ownMs, targetLatencyMs, elapsedMs, remainingMs } = input;
  const share =
    LATENCY_LIMIT_SHARES_BY_PRIORITY[
      Math.min(input.priority, LATENCY_LIMIT_SHARES_BY_PRIORITY.length - 1)
    ] ?? 1;
  const waitMs = expectedMs - ownMs;
  const limitMs = targetLatencyMs * share;
  const isLate = expectedMs + elapsedMs > limitMs && waitMs > limitMs / 2;
  const isHopeless = expectedMs > remainingMs;
  if (!isLate && !isHopeless) return { type: 'admit' };
  return {
    type: 'refuse',
    reason: isHopeless ? 'hopeless' : 'late',
    retryAfterMs: computeRetryAfterMs(input),
    // A request that returns is as old as a new one.
    drainMs: Math.max(0, waitMs - limitMs * RETURN_WAIT_SHARE),
  };
};
