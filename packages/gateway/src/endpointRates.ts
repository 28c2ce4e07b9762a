import { computeRateShare, type Endpoint, type RateShare } from '@lovagearch/endpoints';
import type { GatewayContext } from './gatewayContext.js';

interface KnownShare {
  readonly limitPerS: number;
  readonly peerRevision: number;
  readonly share: RateShare;
}

/** Shares by endpoint; computing one hashes the names of all nodes. */
const knownShares = new WeakMap<Endpoint, KnownShare>();

/** Returns this node's share of an endpoint's limit, or undefined if the endpoint names none. */
export const findRateShare = (
  { clusterState, settings }: GatewayContext,
  endpoint: Endpoint,
): RateShare | undefined => {
  const { limitPerS } = endpoint.statements.rateLimit;
  if (limitPerS === undefined) return undefined;
  const { peerRevision } = clusterState;
  const known = knownShares.get(endpoint);
  if (known?.limitPerS === limitPerS && known.peerRevision === peerRevision) return known.share;
  // A node serves requests before it finds its own announcement in the shared table.
  const nodeNames = [...new Set([...clusterState.listPeerNames(), settings.nodeName])];
  const share = computeRateShare(limitPerS, endpoint.record.id, settings.nodeName, nodeNames);
  knownShares.set(endpoint, { limitPerS, peerRevision, share });
  return share;
};

/** Whether the limit that an endpoint named allows this node another request now. */
export const isWithinRateLimit = (context: GatewayContext, endpoint: Endpoint): boolean => {
  const share = findRateShare(context, endpoint);
  const { clock, random, isExplanation } = context;
  const { rateLimit } = endpoint.statements;
  const limit = isExplanation === true ? rateLimit.createCopy() : rateLimit;
  return share === undefined || limit.canSend(share, clock.nowMs(), random);
};

/** Records a request, a repeat as well, that is sent to an endpoint. */
export const recordSend = (context: GatewayContext, endpoint: Endpoint): void => {
  const share = findRateShare(context, endpoint);
  if (share !== undefined) endpoint.statements.rateLimit.recordSent(share, context.clock.nowMs());
};
