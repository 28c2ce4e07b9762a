/**
 * Share of the expected latency that a request may be forecast to need, by its urgency. Under a
 * sustained overload the least urgent requests are refused first, so that the others stay in time.
 */
const FORECAST_SHARES = [1.1, 1, 0.8] as const;
/** Least and largest advice on when to return, in milliseconds. */
const MIN_RETURN_MS = 250;
const MAX_RETURN_MS = 4_000;
/** Share of its remaining time that a caller waits at most before it returns. */
const MAX_RETURN_SHARE = 1 / 3;
/** Share of the advice that is drawn, so that callers refused together don't return together. */
const RETURN_SPREAD = 0.4;

export interface GateInput {
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
  readonly draw: number;
}

export type GateDecision =
  | { readonly type: 'admit' }
  | {
      readonly type: 'refuse';
      readonly retryAfterMs: number;
      readonly reason: 'late' | 'hopeless';
    };

const computeReturnMs = (input: GateInput): number => {
  const waitMs = Math.max(0, input.expectedMs - input.ownMs);
  const excessMs = Math.min(
    MAX_RETURN_MS,
    Math.max(MIN_RETURN_MS, waitMs - input.targetLatencyMs / 2),
  );
  const spreadMs = excessMs * (1 - RETURN_SPREAD / 2 + RETURN_SPREAD * input.draw);
  return Math.min(spreadMs, input.remainingMs * MAX_RETURN_SHARE);
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
export const decideAdmission = (input: GateInput): GateDecision => {
  const { expectedMs, ownMs, targetLatencyMs, elapsedMs, remainingMs } = input;
  if (expectedMs > remainingMs) {
    return { type: 'refuse', reason: 'hopeless', retryAfterMs: computeReturnMs(input) };
  }
  const share = FORECAST_SHARES[Math.min(input.priority, FORECAST_SHARES.length - 1)] ?? 1;
  const waitMs = expectedMs - ownMs;
  const limitMs = targetLatencyMs * share;
  const isLate = expectedMs + elapsedMs > limitMs && waitMs > limitMs / 2;
  if (!isLate) return { type: 'admit' };
  return { type: 'refuse', reason: 'late', retryAfterMs: computeReturnMs(input) };
};
