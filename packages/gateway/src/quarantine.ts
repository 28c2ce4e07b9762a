import type { Fingerprint } from '@lovagearch/common';
import type { RoutedRequest } from './createAttempt.js';
import type { GatewayContext } from './gatewayContext.js';
import { createRefusal, type LocalReply } from './localReply.js';
import { listSharedPartIds } from './sharedParts.js';
import { computeFingerprint } from './strikePublisher.js';

/** Returns the fingerprint of a request that is quarantined itself, whatever its prompt parts. */
const findQuarantinedFingerprint = (
  { clock, clusterState }: GatewayContext,
  { head, account, body }: RoutedRequest,
): Fingerprint | undefined => {
  const { strikes } = clusterState;
  if (strikes.isEmpty) return undefined;
  const fingerprint = computeFingerprint(account?.name ?? '', head.path, body);
  return strikes.isQuarantined(fingerprint, clock.nowMs()) ? fingerprint : undefined;
};

/** Whether the request or a prompt part of it is quarantined. */
export const isQuarantined = (context: GatewayContext, routedRequest: RoutedRequest): boolean =>
  context.promptPartContainment.findQuarantine(listSharedPartIds(routedRequest.head)) !==
    undefined || findQuarantinedFingerprint(context, routedRequest) !== undefined;

/** Whether a request is quarantined or was in flight when an endpoint crashed, so that it had better not run twice. */
export const isSuspect = (context: GatewayContext, routedRequest: RoutedRequest): boolean => {
  const { clock, clusterState } = context;
  if (isQuarantined(context, routedRequest)) return true;
  if (clusterState.strikes.isEmpty) return false;
  const { head, account, body } = routedRequest;
  const fingerprint = computeFingerprint(account?.name ?? '', head.path, body);
  return clusterState.strikes.countCrashes(fingerprint, clock.nowMs()) > 0;
};

const findQuarantineMessage = (
  context: GatewayContext,
  routedRequest: RoutedRequest,
): string | undefined => {
  const { clock, clusterState, log, settings } = context;
  const fingerprint = findQuarantinedFingerprint(context, routedRequest);
  if (fingerprint !== undefined) {
    if (!clusterState.strikes.tryProbe(fingerprint, settings.nodeName, clock.nowMs()))
      return 'the request is quarantined because it appears to crash endpoints';
    log.logStateChange('request_probed', { fingerprint });
  }
  const { head } = routedRequest;
  return context.promptPartContainment.checkRequest(listSharedPartIds(head)) !== undefined
    ? 'a part of the prompt is quarantined because it appears to crash endpoints'
    : undefined;
};

/** Returns the refusal of a request that is quarantined, or undefined if it may be sent. */
export const createQuarantineRefusal = (
  context: GatewayContext,
  routedRequest: RoutedRequest,
): LocalReply | undefined => {
  const message = findQuarantineMessage(context, routedRequest);
  if (message === undefined) return undefined;
  // The request itself may be valid and be sent again unchanged; status 422 would rule that out.
  return { ...createRefusal('request_quarantined', message), status: 503 };
};
