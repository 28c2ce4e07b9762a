import {
  type AvailabilityCounts,
  chooseEndpoint,
  countRestrictions,
  countAvailabilities,
  decideAvailability,
  type Endpoint,
  type EndpointAvailability,
  type EndpointCandidate,
  type EndpointChoiceInput,
  findEarliestHoldEndMs,
  type Placement,
  selectCandidates,
} from '@lovagearch/endpoints';
import { isRegionAllowed, type Account, type RegionRule, type Route } from '@lovagearch/traffic';
import { findRejectionBlock } from './brittleness/brittleEndpoints.js';
import { findColdLimit } from './coldEndpoints.js';
import {
  COLD_WORK_FACTOR,
  CONNECTION_LIMIT_SHARE,
  MIN_CONNECTIONS_PER_ENDPOINT,
} from './constants.js';
import { getEndpointStartKey } from './attempt.js';
import { isWithinRateLimit } from './endpointRates.js';
import type { GatewayContext } from './gatewayContext.js';
import { findRegionRule } from './regionRules.js';
import { createCacheSalt, findStoreReach } from './reusePlan.js';
import type { RequestHead } from './types.js';

/** The endpoint chosen for a request, with the estimates behind the choice. */
export interface ChosenEndpoint {
  readonly endpoint: Endpoint;
  readonly placement: Placement;
  readonly maxConnections: number;
  /** Software version of the endpoint at the time of the choice. */
  readonly softwareVersion: string;
  /** Where the request may be processed according to the configuration at the time of the choice. */
  readonly regionRule: RegionRule;
  /** Number of endpoints that home regions, evacuated zones or cold starts keep from the request. */
  readonly restrictions: ReturnType<typeof countRestrictions>;
}

/** The endpoint for a request, or how many endpoints of its service are in which state if none may take it. */
export type PlacementResult =
  | {
      readonly type: 'none';
      readonly counts: AvailabilityCounts;
      /** Clock reading at which an endpoint may get requests again, if holds alone keep them all. */
      readonly holdEndMs: number | undefined;
    }
  | { readonly type: 'placed'; readonly chosen: ChosenEndpoint };

/** What keeps a request from endpoints that other requests may get. */
export interface PlacementConstraints {
  /** Ids of endpoints that the request must not be sent to. */
  readonly excluded: ReadonlySet<string>;
  /** Software version at which the request has to go on; undefined if it may begin at any. */
  readonly softwareVersion?: string | undefined;
}

/** Receives what a choice is made from, for explanations. */
export interface PlacementObserver {
  readonly onCandidates: (candidates: readonly EndpointCandidate[]) => void;
  /** Called with the input of the choice, before it is made. */
  readonly onChoice: (input: EndpointChoiceInput) => void;
  readonly onCompared: (placements: readonly Placement[]) => void;
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

/** Decides whether an endpoint may get a request from this node now. */
const getAvailability = (
  context: GatewayContext,
  endpoint: Endpoint,
  maxConnections: number,
  regionRule: RegionRule,
  softwareVersion: string | undefined,
): EndpointAvailability => {
  const { clusterState, clock, links, pool, settings } = context;
  const { record, statements } = endpoint;
  const nowMs = clock.nowMs();
  return decideAvailability({
    hasNeededSoftware: softwareVersion === undefined || record.softwareVersion === softwareVersion,
    isInAllowedRegion: isRegionAllowed(regionRule, settings.regionByZone.get(record.zone)),
    isEvacuated: clusterState.evacuatedZones.has(record.zone),
    isLeaving: statements.leaving.isAnnounced,
    heldUntilMs: statements.hold.getEndMs(nowMs),
    isReachable: links.isUsable(endpoint),
    hasFreeConnection: pool.hasFreeConnection(getEndpointStartKey(endpoint), maxConnections),
    isCold: findColdLimit(context, endpoint) !== undefined,
    isWithinRateLimit: () => isWithinRateLimit(context, endpoint),
    isLoadingWeights: clusterState.isChangingWeights(record.id, nowMs),
    isWithinRejectionShare: () => findRejectionBlock(context, endpoint) === undefined,
  });
};

/** Chooses the endpoint for a request among those of its service that are ready and available. */
export const placeRequest = (
  context: GatewayContext,
  head: RequestHead,
  route: Route,
  service: string,
  account: Account | undefined,
  { excluded, softwareVersion }: PlacementConstraints,
  observer?: PlacementObserver,
): PlacementResult => {
  const { clusterState, clock, settings, random } = context;
  const maxConnections = computeMaxConnections(context, service);
  const regionRule = findRegionRule(context, head, route, account);
  const candidates = clusterState.endpoints.listReady(service).map((endpoint) => ({
    endpoint,
    availability: getAvailability(context, endpoint, maxConnections, regionRule, softwareVersion),
  }));
  observer?.onCandidates(candidates);
  const { endpoints, unavailableIds } = selectCandidates(candidates);
  const parts = route.hasPromptParts ? head.promptParts : [];
  const engine = clusterState.trafficRules?.findService(service)?.engine;
  const choice: EndpointChoiceInput = {
    request: {
      service,
      parts,
      // The salt has no weight version, so that prompt affinity survives an update of the weights.
      cacheSalt: createCacheSalt(account, undefined, regionRule),
      memoryTokens: head.promptTokens + head.maxOutputTokens,
      engineMemoryTokens: engine?.memoryTokens ?? 0,
      store: route.hasPromptParts
        ? findStoreReach(context, head, account, engine, regionRule)
        : undefined,
      model: head.model,
      excluded: unavailableIds.length === 0 ? excluded : new Set([...excluded, ...unavailableIds]),
      getWeightsRemainingMs: (version) =>
        clusterState.getWeightsRemainingMs(head.model ?? '', version),
    },
    endpoints,
    promptCache: clusterState.promptMemory,
    nodeLocation: settings,
    heartbeatMs: settings.heartbeatMs,
    areRegistrationsCurrent: context.areHeartbeatsCurrent(),
    nodeCount: clusterState.nodeCount,
    getWorkFactor: (candidate) =>
      findColdLimit(context, candidate) === undefined ? 1 : COLD_WORK_FACTOR,
    nowMs: clock.nowMs(),
    random,
    ...(observer === undefined ? {} : { onCompared: observer.onCompared }),
  };
  observer?.onChoice(choice);
  const placement = chooseEndpoint(choice);
  const endpoint =
    placement === undefined ? undefined : clusterState.endpoints.findEndpoint(placement.endpointId);
  if (placement === undefined || endpoint === undefined)
    return {
      type: 'none',
      counts: countAvailabilities(candidates),
      holdEndMs: findEarliestHoldEndMs(candidates),
    };
  const restrictions = countRestrictions(candidates);
  return {
    type: 'placed',
    chosen: {
      endpoint,
      placement,
      // New connections to an endpoint that refuses them would fail.
      maxConnections: context.links.canOpenConnections(endpoint) ? maxConnections : 0,
      softwareVersion: endpoint.record.softwareVersion,
      regionRule,
      restrictions,
    },
  };
};
