import { computeRateShare, type Endpoint, type RateShare } from '@lovagearch/endpoints';
import type { GatewayContext } from './gatewayContext.js';

const findRateShare = (
  { clusterState, settings }: GatewayContext,
  { record, rateLimit }: Endpoint,
): RateShare | undefined => {
  if (rateLimit.limitPerS === undefined) return undefined;
  // A node serves requests before it finds its own announcement in the shared table.
  const nodeNames = [...new Set([...clusterState.listPeerNames(), settings.nodeName])];
  return computeRateShare(rateLimit.limitPerS, record.id, settings.nodeName, nodeNames);
};

/** Returns the endpoints whose limit does not allow this node another request now. */
export const listRateLimitedIds = (
  context: GatewayContext,
  endpoints: readonly Endpoint[],
): string[] => {
  const limitedIds: string[] = [];
  const nowMs = context.clock.nowMs();
  for (const endpoint of endpoints) {
    const share = findRateShare(context, endpoint);
    if (share !== undefined && !endpoint.rateLimit.canSend(share, nowMs, context.random))
      limitedIds.push(endpoint.record.id);
  }
  return limitedIds;
};

/** Records a request, a repeat as well, that is sent to an endpoint. */
export const recordSend = (context: GatewayContext, endpoint: Endpoint): void => {
  const share = findRateShare(context, endpoint);
  if (share !== undefined) endpoint.rateLimit.recordSent(share, context.clock.nowMs());
};
