import type { RoutedRequest } from './createAttempt.js';
import type { GatewayContext } from './gatewayContext.js';
import { createRefusal, type LocalReply } from './localReply.js';
import { listSharedPartIds } from './sharedParts.js';
import { computeFingerprint } from './strikePublisher.js';
import type { RequestHead } from './types.js';

/** Whether a prompt part of the request is quarantined. */
export const hasQuarantinedPart = (
  { promptPartContainment }: GatewayContext,
  head: RequestHead,
): boolean => promptPartContainment.findQuarantine(listSharedPartIds(head)) !== undefined;

const findQuarantineMessage = (
  context: GatewayContext,
  { head, account, body }: RoutedRequest,
): string | undefined => {
  const { strikes } = context.clusterState;
  if (!strikes.isEmpty) {
    const fingerprint = computeFingerprint(account?.name ?? '', head.path, body);
    if (strikes.isQuarantined(fingerprint, context.clock.nowMs()))
      return 'the request is quarantined because it appears to crash endpoints';
  }
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
