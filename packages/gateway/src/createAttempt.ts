import type { EventStreamFramer } from '@lovagearch/exchange';
import { type Account, isRetryable, type Route } from '@lovagearch/traffic';
import type { CallerResponse } from './callerResponse.js';
import { Attempt } from './attempt.js';
import { CALL_STALL_FACTOR, STREAM_STALL_TIMEOUT_MS } from './constants.js';
import type { GatewayContext } from './gatewayContext.js';
import type { ChosenEndpoint } from './placeRequest.js';
import type { ReusePlan } from './reusePlan.js';
import type { RequestHead } from './types.js';

/** A request that has a route, an account and its whole body. */
export interface RoutedRequest {
  readonly head: RequestHead;
  readonly route: Route;
  readonly service: string;
  readonly account: Account | undefined;
  readonly body: Buffer | undefined;
}

/** What differs between the attempts of one request. */
export interface AttemptOptions {
  readonly reusePlan: ReusePlan;
  readonly framer: EventStreamFramer | undefined;
  readonly remainingMs: number;
  readonly callerResponse: CallerResponse;
  readonly onFirstByte: (afterMs: number) => void;
}

/** Returns the silence after which a request is sent elsewhere, if it may be. */
const getStallTimeoutMs = (route: Route): number | undefined => {
  if (!isRetryable(route)) return undefined;
  if (route.kind === 'streaming') return STREAM_STALL_TIMEOUT_MS;
  return route.targetLatencyMs * CALL_STALL_FACTOR;
};

/** Creates the attempt of an admitted request at the endpoint that was chosen for it. */
export const createAttempt = (
  context: GatewayContext,
  { head, route, account, body }: RoutedRequest,
  { endpoint, placement, maxConnections }: ChosenEndpoint,
  { reusePlan: reuse, framer, remainingMs, callerResponse: relay, onFirstByte }: AttemptOptions,
): Attempt => {
  const isStream = route.kind === 'streaming';
  const headers = context.headers.encodeEndpointHeaders(head, {
    endpointId: endpoint.record.id,
    accountName: account?.name,
    remainingMs: Math.max(1, Math.floor(remainingMs)),
    cacheSalt: reuse.cacheSalt,
    expectedWeights: reuse.expectedWeights,
    fetchFrom: reuse.fetchFrom,
    saveTo: reuse.saveTo,
    enginePriority: isStream ? (account?.priority ?? route.priority) : undefined,
    lastEventId: framer?.lastEventId ?? head.lastEventId,
  });
  return Attempt.create(
    {
      pool: context.pool,
      headers: context.headers,
      clock: context.clock,
      onFirstByte,
      onWeights: (id, model, version) =>
        context.clusterState.recordEndpointWeights(id, model, version),
    },
    {
      requestId: head.requestId,
      request: { method: head.method, path: head.path, headers, body },
      endpoint,
      placement,
      memoryTokens: head.promptTokens + head.maxOutputTokens,
      model: head.model,
      maxConnections,
      framer,
      callerResponse: relay,
      stallTimeoutMs: getStallTimeoutMs(route),
    },
  );
};
