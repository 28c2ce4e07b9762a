/**
 * Share of the expected latency that a request may be forecast to need, by its urgency. Under a
 * sustained overload the least urgent requests are refused first, so that the others stay in time.
 */
const LATENCY_LIMIT_SHARES_BY_PRIORITY = [1.1, 1, 0.8] as const;
/** Least and largest advice on when to return, in milliseconds. */
const MIN_RETRY_DELAY_MS = 250;
const MAX_RETRY_DELAY_MS = 4_000;
/** Share of its remaining time that a caller waits at most before it returns. */
const MAX_RETRY_DELAY_SHARE = 1 / 3;
/** Share of the advice that is drawn, so that callers refused together don't return together. */
const RETRY_JITTER_SHARE = 0.4;

export interface AdmissionInput {
  /** Forecast time to the first byte at the best endpoint, in milliseconds. */
  readonly expectedMs: number;
  /** Part of the forecast that is not waiting: the request's own work. */
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
 * Decides whether a request joins the queue of its best endpoint. It answers the pattern of a queue
 * that grows beyond what callers wait for: then every answer is late although the endpoints are busy
 * all the time. Requests that would be late are refused at once, with the time to return.
 *
 * A request whose own work alone takes longer than expected is admitted while nothing waits, as
 * returning would not help it.
 *
 * @example
 * const decision = decideAdmission(input);
 * if (decision.type === 'refuse') return refuse(decision.retryAfterMs);
 */
export const decideAdmission = (input: AdmissionInput): AdmissionDecision => {
  const { expectedMs, ownMs, targetLatencyMs, elapsedMs, remainingMs } = input;
  if (expectedMs > remainingMs) {
    return { type: 'refuse', reason: 'hopeless', retryAfterMs: computeRetryAfterMs(input) };
  }
  const share =
    LATENCY_LIMIT_SHARES_BY_PRIORITY[
      Math.min(input.priority, LATENCY_LIMIT_SHARES_BY_PRIORITY.length - 1)
    ] ?? 1;
  const waitMs = expectedMs - ownMs;
  const limitMs = targetLatencyMs * share;
  const isLate = expectedMs + elapsedMs > limitMs && waitMs > limitMs / 2;
  if (!isLate) return { type: 'admit' };
  return { type: 'refuse', reason: 'late', retryAfterMs: computeRetryAfterMs(input) };
};
