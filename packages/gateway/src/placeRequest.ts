import { chooseEndpoint, type Endpoint, type Placement } from '@lovagearch/endpoints';
import type { Account, Route } from '@lovagearch/traffic';
import {
  CONNECTION_LIMIT_SHARE,
  MIN_CONNECTIONS_PER_ENDPOINT,
  OLD_WEIGHTS_AVOID_AFTER_MS,
  OLD_WEIGHTS_CUTOFF_MARGIN_MS,
} from './constants.js';
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

/** Returns the candidates. Shortly before new weights have to be in use, only endpoints that have them. */
const selectByWeights = (
  context: GatewayContext,
  endpoints: readonly Endpoint[],
  model: string | undefined,
): readonly Endpoint[] => {
  const weightTarget =
    model === undefined ? undefined : context.clusterState.findWeightTarget(model);
  if (weightTarget === undefined || model === undefined) return endpoints;
  const ageMs = context.clock.nowMs() - weightTarget.sinceMs;
  if (ageMs < OLD_WEIGHTS_AVOID_AFTER_MS) return endpoints;
  const isCurrent = ({ record }: Endpoint) =>
    (record.weights.get(model) ?? 0) >= weightTarget.version;
  if (ageMs > context.settings.bounds.weightRolloutLimitMs - OLD_WEIGHTS_CUTOFF_MARGIN_MS) {
    return endpoints.filter(isCurrent);
  }
  return endpoints;
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
  const ready = selectByWeights(context, clusterState.endpoints.listReady(service), head.model);
  const reachable = ready.filter((endpoint) =>
    pool.hasFreeConnection(getEndpointStartKey(endpoint), maxConnections),
  );
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
      minWeightVersion: 0,
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
