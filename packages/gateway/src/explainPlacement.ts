import type { AdmissionDecision } from '@lovagearch/admission';
import {
  type Endpoint,
  type EndpointCandidate,
  type EndpointChoiceInput,
  findExclusionReason,
  type Placement,
} from '@lovagearch/endpoints';
import { MS_PER_SECOND } from '@lovagearch/common';
import type { LinkState, LossCause } from '@lovagearch/reachability';
import type { RelayChoice } from '@lovagearch/relaying';
import type { Account, Route, RouteTarget } from '@lovagearch/traffic';
import { findRejectionLimit, findRejectionRisk } from './brittleness/brittleEndpoints.js';
import { decideRequestAdmission } from './createOverloadRefusal.js';
import { findRateShare } from './endpointRates.js';
import type { GatewayContext } from './gatewayContext.js';
import { placeRequest } from './placeRequest.js';
import { isKeptByLostLinks } from './relay/lostLinks.js';
import { listRelayPeers } from './relay/relaying.js';
import { getTimeLimitMs } from './routeRequest.js';
import { listSharedPartIds } from './sharedParts.js';
import type { RequestHead } from './types.js';
import type { DescribedRequest } from './whereRoute.js';

/** The forecast of an endpoint by component, in milliseconds and tokens. */
interface ForecastComponents {
  readonly expectedMs: number;
  /** Queueing delay, for slots, prefill and memory. */
  readonly waitMs: number;
  readonly roundTripMs: number;
  readonly transferMs: number;
  /** Processing of the request itself. */
  readonly workMs: number;
  /** What the choice adds to or leaves out of the forecast: distance, failures, contention, shared prompt parts. */
  readonly adjustmentMs: number;
  readonly costMs: number;
  readonly uncachedTokens: number;
}

/** Why this node doesn't reach an endpoint, or not over new connections. */
interface ExplainedLink {
  readonly state: Exclude<LinkState['type'], 'reachable'>;
  readonly cause: LossCause;
  readonly ageMs: number;
}

/** An endpoint of the service, with its forecast or what excludes it. */
export interface ExplainedCandidate {
  readonly endpoint: string;
  readonly zone: string;
  readonly isChosen: boolean;
  readonly isAffinityOwner: boolean;
  readonly forecast: ForecastComponents | undefined;
  readonly excludedBy: string | undefined;
  /** State of the network link; undefined if the endpoint is reachable. */
  readonly link: ExplainedLink | undefined;
  readonly running: number;
  readonly waiting: number;
  /** Age of the last load report; undefined without one. */
  readonly loadAgeMs: number | undefined;
  /** Requests per second that the endpoint takes from all VMs, and this VM's share, if it names a limit. */
  readonly limitPerS: number | undefined;
  readonly shareOfLimitPerS: number | undefined;
  /** Rejections per second from which a brittle endpoint falls over, and those that this VM may cause. */
  readonly rejectionsPerS?: number | undefined;
  readonly allowedRejections?: number | undefined;
  /** Requests of this VM that a brittle endpoint has room for, as its rejections have shown. */
  readonly knownRoom?: number | undefined;
}

export interface ExplainedTarget {
  readonly service: string;
  readonly weight: number;
  /** Undefined if no endpoint may get the request. */
  readonly chosen: string | undefined;
  readonly admission: AdmissionDecision | undefined;
  /** Peer that would carry the request, or why none would; undefined unless this VM can't reach the service. */
  readonly relay: RelayChoice | undefined;
  readonly candidates: readonly ExplainedCandidate[];
}

/** Where a described request would be sent now, and why. It contains no keys. */
export type PlacementExplanation =
  | { readonly type: 'refused'; readonly node: string; readonly reason: string }
  | {
      readonly type: 'routed';
      readonly node: string;
      readonly configuration: number;
      readonly route: string;
      readonly account: string | undefined;
      readonly priority: number;
      readonly targetMs: number;
      readonly timeLimitMs: number;
      readonly isDraining: boolean;
      /** Whether a set of prompt parts is quarantined; a quarantine of the request itself needs its body. */
      readonly hasQuarantinedParts: boolean;
      readonly targets: readonly ExplainedTarget[];
    };

const createHead = (described: DescribedRequest): RequestHead => ({
  requestId: '',
  method: 'POST',
  path: described.path,
  host: described.host,
  key: undefined,
  timeLimitMs: described.timeLimitMs,
  lastEventId: 0,
  resumedRequestId: undefined,
  model: described.model,
  promptParts: described.parts,
  promptTokens: described.promptTokens,
  maxOutputTokens: described.outputTokens,
  forwardedHeaders: [],
});

const splitForecast = (placement: Placement): ForecastComponents => {
  const { expectedMs, ownMs, roundTripMs, transferMs, costMs, uncachedTokens } = placement;
  return {
    expectedMs,
    waitMs: expectedMs - ownMs,
    roundTripMs,
    transferMs,
    workMs: ownMs - roundTripMs - transferMs,
    adjustmentMs: costMs - expectedMs,
    costMs,
    uncachedTokens,
  };
};

/** What `placeRequest` reports of one choice. */
interface ObservedChoice {
  candidates: readonly EndpointCandidate[];
  input: EndpointChoiceInput | undefined;
  placements: readonly Placement[];
}

const findExclusion = (
  { input, placements }: ObservedChoice,
  { endpoint, availability }: EndpointCandidate,
): string | undefined => {
  if (placements.some(({ endpointId }) => endpointId === endpoint.record.id)) return undefined;
  if (availability.type !== 'available' || input === undefined) return availability.type;
  return findExclusionReason(input, endpoint);
};

const explainLink = (
  { clock, links }: GatewayContext,
  { endpoint }: EndpointCandidate,
): ExplainedLink | undefined => {
  const state = links.getState(endpoint);
  if (state.type === 'reachable') return undefined;
  const { type, cause, sinceMs } = state;
  return { state: type, cause, ageMs: clock.nowMs() - sinceMs };
};

const explainBrittleness = (context: GatewayContext, endpoint: Endpoint) => {
  const risk = findRejectionRisk(context, endpoint);
  if (risk === undefined) return {};
  return {
    rejectionsPerS: findRejectionLimit(context, endpoint),
    allowedRejections: risk.share.type === 'allowed' ? risk.share.rejections : 0,
    knownRoom: endpoint.statements.rejections.knownRoom,
  };
};

const explainCandidate = (
  context: GatewayContext,
  observed: ObservedChoice,
  candidate: EndpointCandidate,
  chosen: string | undefined,
): ExplainedCandidate => {
  const { endpoint } = candidate;
  const { id, zone } = endpoint.record;
  const nowMs = context.clock.nowMs();
  const placement = observed.placements.find(({ endpointId }) => endpointId === id);
  const share = findRateShare(context, endpoint);
  const loadAgeMs = endpoint.getLoadAgeMs(nowMs);
  return {
    endpoint: id,
    zone,
    isChosen: id === chosen,
    isAffinityOwner: placement?.ownerId === id,
    forecast: placement === undefined ? undefined : splitForecast(placement),
    excludedBy: findExclusion(observed, candidate),
    link: explainLink(context, candidate),
    ...endpoint.estimateRequests(nowMs),
    loadAgeMs: Number.isFinite(loadAgeMs) ? loadAgeMs : undefined,
    limitPerS: endpoint.statements.rateLimit.limitPerS,
    shareOfLimitPerS: share === undefined ? undefined : MS_PER_SECOND / share.intervalMs,
    ...explainBrittleness(context, endpoint),
  };
};

const explainRelay = (context: GatewayContext, service: string): RelayChoice => {
  const { relaying, clusterState, settings, clock } = context;
  return relaying.peers.choose({
    service,
    peers: listRelayPeers(clusterState, settings.nodeName),
    excluded: new Set(),
    nowMs: clock.nowMs(),
  });
};

const explainTarget = (
  context: GatewayContext,
  head: RequestHead,
  route: Route,
  account: Account | undefined,
  { service, weight }: RouteTarget,
): ExplainedTarget => {
  const observed: ObservedChoice = { candidates: [], input: undefined, placements: [] };
  const result = placeRequest(
    context,
    head,
    route,
    service,
    account,
    { excluded: new Set() },
    {
      onCandidates: (candidates) => {
        observed.candidates = candidates;
      },
      onChoice: (input) => {
        observed.input = input;
      },
      onCompared: (placements) => {
        observed.placements = placements;
      },
    },
  );
  const placed = result.type === 'placed' ? result.chosen : undefined;
  const chosen = placed?.endpoint.record.id;
  const timeLimitMs = getTimeLimitMs(head, route);
  return {
    service,
    weight,
    chosen,
    admission:
      placed === undefined
        ? undefined
        : decideRequestAdmission(
            context,
            { head, route, service, account, body: undefined },
            placed,
            { elapsedMs: 0, timeLimitMs },
            false,
          ),
    relay: isKeptByLostLinks(context, service, result) ? explainRelay(context, service) : undefined,
    candidates: observed.candidates.map((candidate) =>
      explainCandidate(context, observed, candidate, chosen),
    ),
  };
};

/**
 * Explains where a described request would be sent now. The functions that place and admit requests compute it;
 * nothing is sent, and no state changes.
 *
 * @example
 * const explanation = explainPlacement(context, described);
 * if (explanation.type === 'routed') print(explanation.targets);
 */
export const explainPlacement = (
  shared: GatewayContext,
  described: DescribedRequest,
): PlacementExplanation => {
  // Draws of the process's own generator would change the decisions that follow.
  const context: GatewayContext = { ...shared, isExplanation: true, random: Math.random };
  const { clusterState, settings } = context;
  const { trafficRules } = clusterState;
  const refuse = (reason: string): PlacementExplanation => ({
    type: 'refused',
    node: settings.nodeName,
    reason,
  });
  if (trafficRules === undefined) return refuse('the gateway has no configuration yet');
  const route = trafficRules.findRoute(described.host, described.path);
  if (route === undefined) return refuse('no route has this host and path');
  const account =
    described.account === undefined ? undefined : trafficRules.findAccountByName(described.account);
  if (account === undefined && described.account !== undefined)
    return refuse('no client account has this name');
  if (trafficRules.hasAccounts && !route.isPublic && account === undefined)
    return refuse('the route needs a client account');
  const head = createHead(described);
  const partIds = listSharedPartIds(head);
  return {
    type: 'routed',
    node: settings.nodeName,
    configuration: trafficRules.version,
    route: route.name,
    account: account?.name,
    priority: account?.priority ?? route.priority,
    targetMs: route.targetLatencyMs,
    timeLimitMs: getTimeLimitMs(head, route),
    isDraining: context.getShutdown() !== undefined,
    hasQuarantinedParts: context.promptPartContainment.findQuarantine(partIds) !== undefined,
    targets: route.targets
      .filter(({ weight }) => weight > 0)
      .map((target) => explainTarget(context, head, route, account, target)),
  };
};
