import { type AdmissionDecision, decideAdmission } from '@lovagearch/admission';
import type { RoutedRequest } from './createAttempt.js';
import type { GatewayContext } from './gatewayContext.js';
import { createRefusal, type LocalReply } from './localReply.js';
import type { ChosenEndpoint } from './placeRequest.js';
import { logNotAdmitted } from './requestLog.js';

/**
 * Decides whether a request joins the queue of an endpoint; parameters as of `createOverloadRefusal`.
 */
export const decideRequestAdmission = (
  context: GatewayContext,
  { route, account }: Pick<RoutedRequest, 'account' | 'route'>,
  { placement }: ChosenEndpoint,
  elapsedMs: number,
  timeLimitMs: number,
): AdmissionDecision =>
  decideAdmission({
    expectedMs: placement.expectedMs,
    ownMs: placement.ownMs,
    targetLatencyMs: route.targetLatencyMs,
    elapsedMs,
    remainingMs: timeLimitMs - elapsedMs,
    priority: account?.priority ?? route.priority,
    randomFraction: context.random(),
  });

/**
 * Returns the refusal of a request whose response would be late, or undefined if it is admitted.
 *
 * @param elapsedMs time since the request arrived, in milliseconds
 * @param timeLimitMs time from its arrival to the end of its time limit, in milliseconds
 */
export const createOverloadRefusal = (
  context: GatewayContext,
  routedRequest: RoutedRequest,
  chosen: ChosenEndpoint,
  elapsedMs: number,
  timeLimitMs: number,
): LocalReply | undefined => {
  const { head, route } = routedRequest;
  const { placement } = chosen;
  const decision = decideRequestAdmission(context, routedRequest, chosen, elapsedMs, timeLimitMs);
  if (decision.type === 'admit') return undefined;
  logNotAdmitted(context, head, route, placement, decision);
  const message = `the best endpoint would take ${Math.round(placement.expectedMs)} ms`;
  return createRefusal('overloaded', message, decision.retryAfterMs);
};
