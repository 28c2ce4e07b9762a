import type { GatewayContext } from '../gatewayContext.js';
import type { PlacementResult } from '../placeRequest.js';

/** Whether this node reaches no ready endpoint of a service, although there are some. */
export const isServiceUnreachable = (
  { links, clusterState }: GatewayContext,
  service: string,
): boolean => {
  if (!links.hasLost) return false;
  const ready = clusterState.endpoints.listReady(service);
  return ready.length > 0 && ready.every((endpoint) => !links.isUsable(endpoint));
};

/** Whether peers are known to reach an endpoint of a service that this node doesn't reach. */
const hasLostLink = ({ links, clusterState }: GatewayContext, service: string): boolean =>
  clusterState.endpoints
    .listReady(service)
    .some(
      (endpoint) => !links.isUsable(endpoint) && links.getState(endpoint).type !== 'unanswered',
    );

/**
 * Whether a request that can't be placed here may be placed by a peer. A few endpoints that answer nobody don't count, as
 * they are out of reach for peers too.
 */
export const isKeptByLostLinks = (
  context: GatewayContext,
  service: string,
  result: PlacementResult | undefined,
): boolean =>
  result?.type === 'none' &&
  (result.counts.unreachable ?? 0) > 0 &&
  (hasLostLink(context, service) || isServiceUnreachable(context, service));
