import { chooseEndpoint, type Endpoint, type Placement } from '@lovagearch/endpoints';
import type { Account, Route } from '@lovagearch/traffic';
import {
  CONNECTION_SHARE,
  MIN_CONNECTIONS,
  OLD_WEIGHTS_AVOID_MS,
  OLD_WEIGHTS_MARGIN_MS,
} from './constants.js';
import { getStartKey } from './attempt.js';
import type { GatewayContext } from './gatewayContext.js';
import { createCacheSalt, findStoreReach } from './reusePlan.js';
import type { CallerHead } from './types.js';

/** The endpoint for a request, with what was expected of it. */
export interface ChosenEndpoint {
  readonly endpoint: Endpoint;
  readonly placement: Placement;
  readonly maxConnections: number;
}

/** Returns this node's part of the connections that each endpoint of a service grants. */
const computeMaxConnections = (context: GatewayContext, service: string): number => {
  const granted = context.beliefs.rules?.findService(service)?.maxConnections ?? 0;
  const share = Math.floor((granted * CONNECTION_SHARE) / context.beliefs.nodes);
  return Math.max(MIN_CONNECTIONS, share);
};

/** Returns the endpoints to choose from: those with the named weights if any has them. */
const selectByWeights = (
  context: GatewayContext,
  endpoints: readonly Endpoint[],
  model: string | undefined,
): readonly Endpoint[] => {
  const named = model === undefined ? undefined : context.beliefs.findNamedWeights(model);
  if (named === undefined || model === undefined) return endpoints;
  const ageMs = context.clock.nowMs() - named.sinceMs;
  if (ageMs < OLD_WEIGHTS_AVOID_MS) return endpoints;
  const isCurrent = ({ record }: Endpoint) => (record.weights.get(model) ?? 0) >= named.version;
  if (ageMs > context.settings.bounds.weightsMs - OLD_WEIGHTS_MARGIN_MS) {
    return endpoints.filter(isCurrent);
  }
  return endpoints;
};

/**
 * Chooses the endpoint for a request among those that are ready, have a free connection and are not
 * loading weights.
 */
export const placeRequest = (
  context: GatewayContext,
  head: CallerHead,
  route: Route,
  service: string,
  account: Account | undefined,
  excluded: ReadonlySet<string>,
): ChosenEndpoint | undefined => {
  const { beliefs, clock, settings, pool, random } = context;
  const nowMs = clock.nowMs();
  const maxConnections = computeMaxConnections(context, service);
  const ready = selectByWeights(context, beliefs.endpoints.listReady(service), head.model);
  const reachable = ready.filter((endpoint) => pool.hasRoom(getStartKey(endpoint), maxConnections));
  const steady = reachable.filter(({ record }) => !beliefs.isChangingWeights(record.id, nowMs));
  const parts = route.hasPromptParts ? head.parts : [];
  const engine = beliefs.rules?.findService(service)?.engine;
  const placement = chooseEndpoint({
    request: {
      service,
      parts,
      // Where a prompt belongs doesn't change with the weights.
      cacheSalt: createCacheSalt(account, undefined),
      memoryTokens: head.promptTokens + head.maxOutputTokens,
      engineMemoryTokens: engine?.memoryTokens ?? 0,
      store: route.hasPromptParts ? findStoreReach(context, head, account, engine) : undefined,
      model: head.model,
      excluded,
      minWeightVersion: 0,
    },
    endpoints: steady.length > 0 ? steady : reachable,
    promptCache: beliefs.memory,
    nodeLocation: settings,
    heartbeatMs: settings.heartbeatMs,
    areRegistrationsCurrent: context.areHeartbeatsCurrent(),
    nowMs,
    random,
  });
  if (placement === undefined) return undefined;
  const endpoint = beliefs.endpoints.findEndpoint(placement.endpointId);
  if (endpoint === undefined) return undefined;
  return { endpoint, placement, maxConnections };
};
