import { decideAdmission } from '@lovagearch/admission';
import type { RoutedRequest } from './createAttempt.js';
import type { GatewayContext } from './gatewayContext.js';
import { createRefusal, type LocalReply } from './localReply.js';
import type { ChosenEndpoint } from './placeRequest.js';
import { computeWorkMs, planReturn } from './planReturn.js';
import { logNotAdmitted } from './requestLog.js';

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
  const { head, route, account } = routedRequest;
  const { placement } = chosen;
  const remainingMs = timeLimitMs - elapsedMs;
  const decision = decideAdmission({
    expectedMs: placement.expectedMs,
    ownMs: placement.ownMs,
    targetLatencyMs: route.targetLatencyMs,
    elapsedMs,
    remainingMs,
    priority: account?.priority ?? route.priority,
    randomFraction: context.random(),
  });
  if (decision.type === 'admit') return undefined;
  const retryAfterMs =
    decision.reason === 'hopeless'
      ? decision.retryAfterMs
      : planReturn(context, routedRequest, {
          drainMs: decision.drainMs,
          workMs: computeWorkMs(routedRequest, chosen),
          remainingMs,
        });
  logNotAdmitted(context, head, route, placement, { ...decision, retryAfterMs });
  const message = `the best endpoint would take ${Math.round(placement.expectedMs)} ms`;
  return createRefusal('overloaded', message, retryAfterMs);
};
