import {
  computeColdShare,
  computeRateShare,
  type Endpoint,
  type RateShare,
} from '@lovagearch/endpoints';
import { findColdLimit } from './coldEndpoints.js';
import type { GatewayContext } from './gatewayContext.js';

interface KnownShare {
  readonly limitPerS: number;
  readonly peerRevision: number;
  /** Whether the limit is that of a cold endpoint. */
  readonly isCold: boolean;
  readonly isMembershipKnown: boolean;
  readonly share: RateShare;
}

/** Shares by endpoint; computing one hashes the names of all nodes. */
const knownShares = new WeakMap<Endpoint, KnownShare>();

/** Returns this node's share of what an endpoint accepts, or undefined if that is not limited. */
export const findRateShare = (
  context: GatewayContext,
  endpoint: Endpoint,
): RateShare | undefined => {
  const { clusterState, settings, isMembershipKnown: isKnown } = context;
  const { rateLimit } = endpoint.statements;
  const coldLimit = findColdLimit(context, endpoint);
  rateLimit.setColdLimit(coldLimit?.requestsPerS);
  const { limitPerS } = rateLimit;
  if (limitPerS === undefined) return undefined;
  const { peerRevision } = clusterState;
  const isCold = limitPerS === coldLimit?.requestsPerS;
  const isMembershipKnown = !isCold || isKnown();
  const known = knownShares.get(endpoint);
  if (
    known?.limitPerS === limitPerS &&
    known.peerRevision === peerRevision &&
    known.isCold === isCold &&
    known.isMembershipKnown === isMembershipKnown
  )
    return known.share;
  // A node serves requests before it finds its own announcement in the shared table.
  const nodeNames = [...new Set([...clusterState.listPeerNames(), settings.nodeName])];
  const { id } = endpoint.record;
  const share =
    isCold && coldLimit !== undefined
      ? computeColdShare(
          coldLimit,
          id,
          settings.nodeName,
          isMembershipKnown ? nodeNames : undefined,
        )
      : computeRateShare(limitPerS, id, settings.nodeName, nodeNames);
  knownShares.set(endpoint, { limitPerS, peerRevision, isCold, isMembershipKnown, share });
  return share;
};

/** Whether the limit that an endpoint named, or that of a cold one, allows this node another request now. */
export const isWithinRateLimit = (context: GatewayContext, endpoint: Endpoint): boolean => {
  const share = findRateShare(context, endpoint);
  if (share === undefined) return true;
  const { clock, random, isExplanation } = context;
  const nowMs = clock.nowMs();
  const { coldness, rateLimit } = endpoint.statements;
  const isCold = findColdLimit(context, endpoint) !== undefined;
  if (isCold && !coldness.canSend(share.intervalMs, nowMs)) return false;
  const limit = isExplanation === true ? rateLimit.createCopy() : rateLimit;
  return limit.canSend(share, nowMs, random);
};

/** Records a request, a repeat as well, that is sent to an endpoint. */
export const recordSend = (context: GatewayContext, endpoint: Endpoint): void => {
  const nowMs = context.clock.nowMs();
  endpoint.statements.coldness.recordSent(nowMs);
  const share = findRateShare(context, endpoint);
  if (share !== undefined) endpoint.statements.rateLimit.recordSent(share, nowMs);
};
