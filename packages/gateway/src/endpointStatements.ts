import type { Endpoint } from '@lovagearch/endpoints';
import { recordBrittleResponse } from './brittleness/brittleEndpoints.js';
import { recordColdResponse } from './coldEndpoints.js';
import type { GatewayContext } from './gatewayContext.js';
import { logStatementChange } from './requestLog.js';
import type { ResponseHead } from './types.js';

/** Whether an endpoint has said nothing that forbids this node to send it a request now. */
export const isTakingRequests = (
  { clock }: GatewayContext,
  { statements: { leaving, hold } }: Endpoint,
): boolean => !leaving.isAnnounced && hold.getEndMs(clock.nowMs()) === undefined;

/** Whether a response comes from the endpoint that its request was sent to. */
const isOwnResponse = (
  endpoint: Endpoint,
  { respondingEndpointId, isMisdirected }: ResponseHead,
): boolean =>
  // Another endpoint may have taken over the address.
  respondingEndpointId === undefined ? !isMisdirected : respondingEndpointId === endpoint.record.id;

/**
 * Applies what a response says about its endpoint, and logs what changes.
 *
 * @param sentAtMs clock reading at which the request of the response was sent
 * @example
 * onResponseHead: (head) => applyStatements(context, endpoint, requestId, head, startMs),
 */
export const applyStatements = (
  context: GatewayContext,
  endpoint: Endpoint,
  requestId: string,
  head: ResponseHead,
  sentAtMs: number,
): void => {
  if (!isOwnResponse(endpoint, head)) return;
  recordColdResponse(context, endpoint, head, sentAtMs);
  recordBrittleResponse(context, endpoint, requestId, head, sentAtMs);
  const { rateLimit, leaving, hold } = endpoint.statements;
  const nowMs = context.clock.nowMs();
  logStatementChange(context, endpoint, requestId, 'leaving', leaving.applyStatement(head.leaving));
  logStatementChange(context, endpoint, requestId, 'hold', hold.applyStatement(head.hold, nowMs));
  // An endpoint may reject a request before it handles it, and the limit is lifted by the next response.
  const isRejection = head.isNotRun || head.isMisdirected;
  if (isRejection && head.rateLimit.type === 'none') return;
  const change = rateLimit.applyStatement(head.rateLimit, sentAtMs, nowMs);
  logStatementChange(context, endpoint, requestId, 'limit', change);
};
