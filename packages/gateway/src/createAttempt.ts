import type { MoveOption } from '@lovagearch/endpoints';
import type { EventStreamFramer } from '@lovagearch/exchange';
import { type Account, isRetryable, type Route } from '@lovagearch/traffic';
import type { CallerResponse } from './callerResponse.js';
import { Attempt, getEndpointStartKey } from './attempt.js';
import { recordColdAfterCrash } from './coldEndpoints.js';
import {
  CALL_STALL_FACTOR,
  MIN_REMAINING_TO_SEND_MS,
  STREAM_STALL_TIMEOUT_MS,
} from './constants.js';
import { checkEndpointLife } from './checkEndpointLife.js';
import { applyStatements } from './endpointStatements.js';
import type { GatewayContext } from './gatewayContext.js';
import type { ChosenEndpoint } from './placeRequest.js';
import type { ReusePlan } from './reusePlan.js';
import { logFirstEventDecision, logSilence } from './requestLog.js';
import { createSendCheck } from './sendCheck.js';
import type { RequestHead } from './types.js';

/** A request with its route, service, account and complete body. It may still be refused by admission. */
export interface RoutedRequest {
  readonly head: RequestHead;
  readonly route: Route;
  readonly service: string;
  readonly account: Account | undefined;
  readonly body: Buffer | undefined;
}

/** Options that differ between the attempts of one request. */
export interface AttemptOptions {
  readonly reusePlan: ReusePlan;
  readonly framer: EventStreamFramer | undefined;
  readonly remainingMs: number;
  /** Whether the request was sent to the same endpoint before. */
  readonly isRepeat: boolean;
  readonly callerResponse: CallerResponse;
  readonly findMove: () => MoveOption;
  /** Whether the request may be sent again after an attempt that may have run it. */
  readonly mayRunAgain: () => boolean;
  readonly onFirstByte: (sinceStartMs: number) => void;
  /** Called before the first byte of a response is passed on to the caller. */
  readonly onResponseStart: () => void;
}

/** Returns the time without data after which a retryable request is sent to another endpoint. */
const getStallTimeoutMs = (route: Route): number | undefined => {
  if (!isRetryable(route)) return undefined;
  if (route.kind === 'streaming') return STREAM_STALL_TIMEOUT_MS;
  return route.targetLatencyMs * CALL_STALL_FACTOR;
};

/** Creates an attempt to send a request to the chosen endpoint. */
export const createAttempt = (
  context: GatewayContext,
  routedRequest: RoutedRequest,
  chosen: ChosenEndpoint,
  options: AttemptOptions,
): Attempt => {
  const { head, route, service, account, body } = routedRequest;
  const { endpoint, placement, maxConnections } = chosen;
  const { reusePlan, framer, remainingMs, isRepeat, callerResponse } = options;
  const startKey = getEndpointStartKey(endpoint);
  const isStreaming = route.kind === 'streaming';
  if (isStreaming) context.recordSoftwareSend(service, endpoint.record.softwareVersion);
  const endMs = context.clock.nowMs() + remainingMs;
  const getRemainingMs = () => endMs - context.clock.nowMs();
  const createHeaders = (handedMs: number) =>
    context.headers.encodeEndpointHeaders(head, {
      endpointId: endpoint.record.id,
      accountName: account?.name,
      remainingMs: handedMs,
      cacheSalt: reusePlan.cacheSalt,
      expectedWeights: reusePlan.expectedWeights,
      fetchFrom: reusePlan.fetchFrom,
      saveTo: reusePlan.saveTo,
      enginePriority: isStreaming ? (account?.priority ?? route.priority) : undefined,
      lastEventId: framer?.lastEventId ?? head.lastEventId,
    });
  const canSend = createSendCheck(context, routedRequest, chosen);
  return Attempt.create(
    {
      pool: context.pool,
      headers: context.headers,
      clock: context.clock,
      memory: context.responseLimits.memory,
      canSend: () => getRemainingMs() >= MIN_REMAINING_TO_SEND_MS && canSend(),
      nodeCount: context.clusterState.nodeCount,
      findMove: options.findMove,
      mayRunAgain: options.mayRunAgain,
      onBytes: (nowMs) => context.links.recordBytes(startKey, service, nowMs),
      onFirstEventDecision: (decision, ages) => {
        context.metrics.recordFirstEventDecision(service, decision);
        logFirstEventDecision(context, head, endpoint, decision, ages);
      },
      onSilence: (decision, silentMs) => {
        context.metrics.recordSilence(service, decision);
        logSilence(context, head, endpoint, decision, silentMs);
      },
      onFirstByte: options.onFirstByte,
      onResponseStart: options.onResponseStart,
      onResponseHead: (responseHead, sentAtMs) =>
        applyStatements(context, endpoint, head.requestId, responseHead, sentAtMs),
      onWeights: (id, model, version) =>
        context.clusterState.recordEndpointWeights(id, model, version),
      checkEndpoint: (end) => checkEndpointLife(context, endpoint, end),
      isReplaced: ({ record }) => {
        const registered = context.clusterState.endpoints.findEndpoint(record.id);
        return registered !== undefined && registered.record.startedUnixMs !== record.startedUnixMs;
      },
      // A process that has crashed refuses connections until its successor, which is cold, listens.
      onConnectFailed: () => recordColdAfterCrash(context, endpoint, context.clock.nowMs()),
      onConnectionEnd: (life) => context.metrics.recordConnectionEnd(service, life),
    },
    {
      requestId: head.requestId,
      request: { method: head.method, path: head.path, body, isRepeat },
      getRemainingMs,
      createHeaders,
      endpoint,
      placement,
      mayLoadParts: reusePlan.fetchFrom.some((address) => address !== undefined),
      memoryTokens: head.promptTokens + head.maxOutputTokens,
      model: head.model,
      maxConnections,
      framer,
      callerResponse,
      stallTimeoutMs: getStallTimeoutMs(route),
    },
  );
};
