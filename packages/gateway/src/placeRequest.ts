import { chooseEndpoint, type Endpoint, type Placement } from '@lovagearch/endpoints';
import type { Account, Route } from '@lovagearch/traffic';
import { CONNECTION_LIMIT_SHARE, MIN_CONNECTIONS_PER_ENDPOINT } from './constants.js';
import { getEndpointStartKey } from './attempt.js';
import { listRateLimitedIds } from './endpointRates.js';
import type { GatewayContext } from './gatewayContext.js';
import { createCacheSalt, findStoreReach } from './reusePlan.js';
import type { RequestHead } from './types.js';

/** The endpoint chosen for a request, with the estimates behind the choice. */
export interface ChosenEndpoint {
  readonly endpoint: Endpoint;
  readonly placement: Placement;
  readonly maxConnections: number;
}

/** Returns this node's share of the connections that each endpoint of a service allows. */
const computeMaxConnections = (context: GatewayContext, service: string): number => {
  const connectionLimit =
    context.clusterState.trafficRules?.findService(service)?.maxConnections ?? 0;
  const nodeShare = Math.floor(
    (connectionLimit * CONNECTION_LIMIT_SHARE) / context.clusterState.nodeCount,
  );
  return Math.max(MIN_CONNECTIONS_PER_ENDPOINT, nodeShare);
};

/**
 * Chooses the endpoint for a request among those that are ready and have a free connection. Endpoints
 * that are loading weights are used only if there are no others.
 */
export const placeRequest = (
  context: GatewayContext,
  head: RequestHead,
  route: Route,
  service: string,
  account: Account | undefined,
  excluded: ReadonlySet<string>,
): ChosenEndpoint | undefined => {
  const { clusterState, clock, settings, pool, random } = context;
  const nowMs = clock.nowMs();
  const maxConnections = computeMaxConnections(context, service);
  const reachable = clusterState.endpoints
    .listReady(service)
    .filter((endpoint) => pool.hasFreeConnection(getEndpointStartKey(endpoint), maxConnections));
  const stable = reachable.filter(
    ({ record }) => !clusterState.isChangingWeights(record.id, nowMs),
  );
  // Limited endpoints still count as owners of prompts, so that a limit doesn't move their prompts.
  const limitedIds = listRateLimitedIds(context, reachable);
  const parts = route.hasPromptParts ? head.promptParts : [];
  const engine = clusterState.trafficRules?.findService(service)?.engine;
  const placement = chooseEndpoint({
    request: {
      service,
      parts,
      // The salt has no weight version, so that prompt affinity survives an update of the weights.
      cacheSalt: createCacheSalt(account, undefined),
      memoryTokens: head.promptTokens + head.maxOutputTokens,
      engineMemoryTokens: engine?.memoryTokens ?? 0,
      store: route.hasPromptParts ? findStoreReach(context, head, account, engine) : undefined,
      model: head.model,
      excluded: limitedIds.length === 0 ? excluded : new Set([...excluded, ...limitedIds]),
      getWeightsRemainingMs: (version) =>
        clusterState.getWeightsRemainingMs(head.model ?? '', version),
    },
    endpoints: stable.length > 0 ? stable : reachable,
    promptCache: clusterState.promptMemory,
    nodeLocation: settings,
    heartbeatMs: settings.heartbeatMs,
    areRegistrationsCurrent: context.areHeartbeatsCurrent(),
    nowMs,
    random,
  });
  if (placement === undefined) return undefined;
  const endpoint = clusterState.endpoints.findEndpoint(placement.endpointId);
  if (endpoint === undefined) return undefined;
  return { endpoint, placement, maxConnections };
};
