import type { GatewayContext } from '../gatewayContext.js';
import type { PlacementResult } from '../placeRequest.js';

/** Whether lost links keep a request from endpoints, and no other may take it. */
export const isUnreachable = (result: PlacementResult | undefined): boolean =>
  result?.type === 'none' && (result.counts.unreachable ?? 0) > 0;

/** Whether this node reaches no ready endpoint of a service, although there are some. */
export const isServiceUnreachable = (
  { links, clusterState }: GatewayContext,
  service: string,
): boolean => {
  if (!links.hasLost) return false;
  const ready = clusterState.endpoints.listReady(service);
  return ready.length > 0 && ready.every((endpoint) => !links.isUsable(endpoint));
};
