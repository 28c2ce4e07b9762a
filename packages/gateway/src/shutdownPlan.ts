import { DRAIN_ACCEPT_PERIOD_MS, DRAIN_END_MARGIN_MS, DRAIN_MIN_MS } from './constants.js';

/** Largest share of a grace period in which new requests are taken; the rest is for their responses. */
const MAX_ACCEPT_SHARE = 0.35;
/** Largest share of a grace period after which the listener closes. */
const MAX_LISTEN_SHARE = 0.45;

/** Steps of a planned stop, in milliseconds after the signal. */
export interface ShutdownPlan {
  /** New requests are refused from then on. */
  readonly acceptUntilMs: number;
  /** Listener and idle connections are closed then. */
  readonly closeAtMs: number;
  /** Requests in progress are cut off from then on, after responses that have arrived are passed on. */
  readonly endAtMs: number;
}

/**
 * Plans a stop within a grace period. Requests are taken until the load balancer has noticed that the node is not
 * ready, so that hardly any has to be sent twice.
 *
 * @param graceMs time from the signal until the process is killed
 */
export const createShutdownPlan = (graceMs: number): ShutdownPlan => {
  const endAtMs = Math.max(0, graceMs - DRAIN_END_MARGIN_MS);
  return {
    acceptUntilMs: Math.min(DRAIN_ACCEPT_PERIOD_MS, endAtMs * MAX_ACCEPT_SHARE),
    closeAtMs: Math.min(DRAIN_MIN_MS, endAtMs * MAX_LISTEN_SHARE),
    endAtMs,
  };
};

export interface ShutdownAdmissionInput {
  readonly plan: ShutdownPlan;
  /** Time since the signal, in milliseconds. */
  readonly elapsedMs: number;
  /** Time within which the response ends in any case, in milliseconds. */
  readonly timeLimitMs: number;
  /** Time within which responses of the route usually end, in milliseconds; undefined if it is not known. */
  readonly usualDurationMs: number | undefined;
}

/** Whether a request that arrives during a planned stop is taken. */
export type ShutdownAdmission =
  { readonly type: 'refuse'; readonly reason: 'ending' | 'too_long' } | { readonly type: 'take' };

/**
 * Decides whether a request that arrives during a planned stop is taken. One that may not end in time is refused at
 * once, before any byte is sent to an endpoint, as another node can serve it; otherwise it would be cut off.
 *
 * @example
 * const admission = decideShutdownAdmission({ plan, elapsedMs: 900, timeLimitMs: 15_000, usualDurationMs: 2_100 });
 * if (admission.type === 'refuse') return refuseAsNotRun();
 */
export const decideShutdownAdmission = ({
  plan,
  elapsedMs,
  timeLimitMs,
  usualDurationMs,
}: ShutdownAdmissionInput): ShutdownAdmission => {
  if (elapsedMs >= plan.acceptUntilMs) return { type: 'refuse', reason: 'ending' };
  const durationMs = Math.min(timeLimitMs, usualDurationMs ?? timeLimitMs);
  return elapsedMs + durationMs < plan.endAtMs
    ? { type: 'take' }
    : { type: 'refuse', reason: 'too_long' };
};
