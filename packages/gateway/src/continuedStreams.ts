import { type Continuation, decideContinuation } from '@lovagearch/endpoints';
import { type Account, chooseTarget, type Route } from '@lovagearch/traffic';
import { UNKNOWN_ORIGIN_RETRY_AFTER_MS } from './constants.js';
import type { RoutedRequest } from './createAttempt.js';
import type { GatewayContext } from './gatewayContext.js';
import { createRefusal, type LocalReply } from './localReply.js';
import { logContinuation } from './requestLog.js';
import { computeStreamKey, type StreamOrigin } from './streamOrigins.js';
import type { RequestHead } from './types.js';
import type { KnownVersions } from './versionKnowledge.js';

/** Whether a caller goes on with a stream of which it has a part. */
export const isResumption = ({ lastEventId }: RequestHead): boolean => lastEventId > 0;

const findOrigin = (
  { streamOrigins, clock }: GatewayContext,
  head: RequestHead,
  account: Account | undefined,
): StreamOrigin | undefined =>
  isResumption(head) && head.resumedRequestId !== undefined
    ? streamOrigins.findOrigin(
        computeStreamKey(account?.name, head.resumedRequestId),
        clock.nowMs(),
      )
    : undefined;

/** Chooses the service of a request: that of its stream if the route still leads there, otherwise by the weights. */
export const chooseService = (
  context: GatewayContext,
  head: RequestHead,
  route: Route,
  account: Account | undefined,
): string | undefined => {
  const origin = findOrigin(context, head, account);
  const isRouted = route.targets.some(({ service }) => service === origin?.service);
  return isRouted ? origin?.service : chooseTarget(route.targets, context.random())?.service;
};

/** At which version a stream goes on, and from whom that is known: from its own origin, or from the versions in use. */
export interface ContinuationDecision {
  readonly continuation: Continuation;
  readonly source: KnownVersions['confirmedBy'] | 'origin';
}

/** Where a request may go on, or why it is refused. */
export type ContinuationResult =
  | { readonly type: 'allowed'; readonly softwareVersion: string | undefined }
  | { readonly type: 'refused'; readonly refusal: LocalReply };

const decide = async (
  context: GatewayContext,
  routedRequest: RoutedRequest,
): Promise<ContinuationDecision> => {
  const { head, service, account } = routedRequest;
  const { lastEventId } = head;
  const findKnownVersion = () => {
    const origin = findOrigin(context, head, account);
    return origin?.service === service ? origin.version : undefined;
  };
  const knownVersion = findKnownVersion();
  if (knownVersion !== undefined)
    return { continuation: { type: 'version', version: knownVersion }, source: 'origin' };
  const { uses, complete, begin, confirmedBy } = await context.versionKnowledge.confirm(service);
  const toldVersion = findKnownVersion();
  const continuation = decideContinuation({
    lastEventId,
    knownVersion: toldVersion,
    uses,
    complete,
    begin,
  });
  return { continuation, source: toldVersion === undefined ? confirmedBy : 'origin' };
};

/** Finds the software version at which a request has to go on; one that may go on nowhere is refused. */
export const findContinuation = async (
  context: GatewayContext,
  routedRequest: RoutedRequest,
): Promise<ContinuationResult> => {
  const { metrics } = context;
  const { head, route, service } = routedRequest;
  if (route.kind !== 'streaming' || !isResumption(head))
    return { type: 'allowed', softwareVersion: undefined };
  const decision = await decide(context, routedRequest);
  const { continuation, source } = decision;
  metrics.recordContinuation(service, source === 'origin' ? 'known' : continuation.type);
  logContinuation(context, routedRequest, decision);
  switch (continuation.type) {
    case 'any':
      return { type: 'allowed', softwareVersion: undefined };
    case 'version':
      return { type: 'allowed', softwareVersion: continuation.version };
    case 'unknown': {
      const message = 'it is not known which software version began the stream';
      return {
        type: 'refused',
        refusal: createRefusal('overloaded', message, UNKNOWN_ORIGIN_RETRY_AFTER_MS),
      };
    }
    default:
      return continuation satisfies never;
  }
};

/** Records that an endpoint has begun a stream, or goes on with one. */
export const recordStreamOrigin = (
  { streamOrigins, clock }: GatewayContext,
  { head, service, account }: RoutedRequest,
  version: string,
): void => {
  const beganWith = isResumption(head) ? head.resumedRequestId : head.requestId;
  if (beganWith === undefined) return;
  const key = computeStreamKey(account?.name, beganWith);
  streamOrigins.recordStream({ key, service, version, atMs: clock.nowMs() });
};
