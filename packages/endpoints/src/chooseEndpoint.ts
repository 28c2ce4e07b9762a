import type { Random } from '@lovagearch/common';
import {
  CROSS_REGION_PENALTY_MS,
  CROSS_REGION_ROUND_TRIP_MS,
  CROSS_REGION_TRANSFER_FACTOR,
  CROSS_ZONE_PENALTY_MS,
  CROSS_ZONE_TRANSFER_FACTOR,
  FAILURE_COST_MS,
  FIRST_TOKEN_OVERHEAD_MS,
  RECENT_ENDPOINT_HIT_SHARE,
  MAX_TRANSFER_SHARE,
  MEMORY_FULL_PENALTY_MS,
  MEMORY_FULL_SHARE,
  NEAR_TIE_SHARE,
  PREFILL_TOKENS_PER_MS,
  SAME_REGION_ROUND_TRIP_MS,
  SAME_ZONE_ROUND_TRIP_MS,
  SHARED_PREFILL_WEIGHT,
  MAX_MISSED_HEARTBEATS,
} from './constants.js';
import type { Endpoint } from './endpoint.js';
import {
  chooseAffinityOwner,
  getAffinityPart,
  type PromptCacheEstimator,
} from './promptCacheEstimator.js';
import type { Placement, PlacementRequest, PromptPartStore } from './types.js';

/** Where this process stands. */
export interface NodeLocation {
  readonly zone: string;
  readonly region: string;
  readonly regionByZone: ReadonlyMap<string, string>;
}

export interface EndpointChoiceInput {
  readonly request: PlacementRequest;
  readonly endpoints: readonly Endpoint[];
  readonly promptCache: PromptCacheEstimator;
  readonly nodeLocation: NodeLocation;
  /** Interval of the endpoints' heartbeats, in milliseconds. */
  readonly heartbeatMs: number;
  /** Whether registrations are up to date, so that a missing heartbeat tells something. */
  readonly areRegistrationsCurrent: boolean;
  readonly nowMs: number;
  readonly random: Random;
}

interface NetworkCost {
  readonly roundTripMs: number;
  readonly penaltyMs: number;
}

const computeNetworkCost = (endpoint: Endpoint, place: NodeLocation): NetworkCost => {
  const { zone } = endpoint.record;
  if (zone === place.zone) return { roundTripMs: SAME_ZONE_ROUND_TRIP_MS, penaltyMs: 0 };
  if (place.regionByZone.get(zone) === place.region) {
    return { roundTripMs: SAME_REGION_ROUND_TRIP_MS, penaltyMs: CROSS_ZONE_PENALTY_MS };
  }
  return { roundTripMs: CROSS_REGION_ROUND_TRIP_MS, penaltyMs: CROSS_REGION_PENALTY_MS };
};

interface PrefillTimes {
  /** Time to read the parts that only this request has. */
  readonly ownMs: number;
  /** Time to read shared parts that neither the endpoint nor a store has. */
  readonly sharedMs: number;
  readonly transferMs: number;
}

const getTransferFactor = (
  store: PromptPartStore,
  endpoint: Endpoint,
  place: NodeLocation,
): number => {
  const { zone } = endpoint.record;
  if (zone === store.zone) return 1;
  const isSameRegion = place.regionByZone.get(zone) === place.regionByZone.get(store.zone);
  return isSameRegion ? CROSS_ZONE_TRANSFER_FACTOR : CROSS_REGION_TRANSFER_FACTOR;
};

/** Splits the tokens that an endpoint lacks into those that can be brought from elsewhere and the rest. */
const computePrefillTimes = (
  { request, nodeLocation: place }: EndpointChoiceInput,
  endpoint: Endpoint,
  uncachedTokens: number,
): PrefillTimes => {
  const { store, parts, model } = request;
  const weights = model === undefined ? undefined : endpoint.record.weights.get(model);
  const ownTokens = Math.min(uncachedTokens, parts.at(-1)?.tokens ?? 0);
  const sharedTokens = uncachedTokens - ownTokens;
  const ownMs = ownTokens / PREFILL_TOKENS_PER_MS;
  if (store === undefined || sharedTokens === 0) {
    return { ownMs, sharedMs: sharedTokens / PREFILL_TOKENS_PER_MS, transferMs: 0 };
  }
  // Without an entry of the store the parts may still come from the endpoint that read them last.
  const movedTokens = sharedTokens * (store.hasPartsFor(weights) ? 1 : RECENT_ENDPOINT_HIT_SHARE);
  const factor = getTransferFactor(store, endpoint, place);
  const transferMs = store.transferLatencyMs + movedTokens * store.msPerToken * factor;
  if (transferMs > (movedTokens / PREFILL_TOKENS_PER_MS) * MAX_TRANSFER_SHARE) {
    return { ownMs, sharedMs: sharedTokens / PREFILL_TOKENS_PER_MS, transferMs: 0 };
  }
  return { ownMs, sharedMs: (sharedTokens - movedTokens) / PREFILL_TOKENS_PER_MS, transferMs };
};

/** Returns the time that a request waits for memory, beyond what is read before it. */
const computeMemoryWaitMs = (
  { request, nowMs }: EndpointChoiceInput,
  endpoint: Endpoint,
): number => {
  if (request.engineMemoryTokens === 0) return 0;
  const tokens = endpoint.estimateMemoryTokens(nowMs) + request.memoryTokens;
  return tokens > request.engineMemoryTokens * MEMORY_FULL_SHARE ? MEMORY_FULL_PENALTY_MS : 0;
};

const computePlacement = (
  input: EndpointChoiceInput,
  endpoint: Endpoint,
  ownerId: string | undefined,
): Placement => {
  const { request, promptCache: memory, nowMs, nodeLocation: place } = input;
  const { roundTripMs, penaltyMs } = computeNetworkCost(endpoint, place);
  const failureMs = endpoint.recentFailureShare * FAILURE_COST_MS;
  const promptTokens = request.parts.reduce((sum, { tokens }) => sum + tokens, 0);
  if (promptTokens === 0) {
    const { running, waiting } = endpoint.estimateRequests(nowMs);
    const workMs = endpoint.meanProcessingMs;
    const slots = Math.max(1, endpoint.record.slots);
    const queueMs = (Math.max(0, running + waiting + 1 - slots) / slots) * workMs;
    // Endpoints slow down when they are nearly full.
    const crowdingMs = (running / slots) * workMs * 0.5;
    const expectedMs = roundTripMs + queueMs + workMs;
    const costMs = expectedMs + crowdingMs + penaltyMs + failureMs;
    return {
      endpointId: endpoint.record.id,
      expectedMs,
      ownMs: roundTripMs + workMs,
      uncachedTokens: 0,
      ownerId,
      transferMs: 0,
      costMs,
      candidates: 0,
    };
  }
  const salt = request.cacheSalt ?? '';
  const cached = memory.estimateCachedTokens(
    request.parts,
    salt,
    endpoint.record.id,
    ownerId,
    nowMs,
  );
  const uncachedTokens = promptTokens - cached;
  const read = computePrefillTimes(input, endpoint, uncachedTokens);
  const queueMs = endpoint.estimateWaitMs(nowMs) + computeMemoryWaitMs(input, endpoint);
  const ownMs =
    roundTripMs + FIRST_TOKEN_OVERHEAD_MS + read.ownMs + read.sharedMs + read.transferMs;
  const expectedMs = queueMs + ownMs;
  const costMs =
    roundTripMs +
    penaltyMs +
    queueMs +
    read.ownMs +
    read.sharedMs * SHARED_PREFILL_WEIGHT +
    read.transferMs +
    failureMs;
  return {
    endpointId: endpoint.record.id,
    expectedMs,
    ownMs,
    uncachedTokens,
    ownerId,
    transferMs: read.transferMs,
    costMs,
    candidates: 0,
  };
};

const hasMissedHeartbeats = (input: EndpointChoiceInput, endpoint: Endpoint): boolean =>
  input.areRegistrationsCurrent &&
  endpoint.getHeartbeatAgeMs(input.nowMs) > input.heartbeatMs * MAX_MISSED_HEARTBEATS;

const hasRequiredWeights = ({ request }: EndpointChoiceInput, endpoint: Endpoint): boolean => {
  if (request.model === undefined || request.minWeightVersion === 0) return true;
  return (endpoint.record.weights.get(request.model) ?? 0) >= request.minWeightVersion;
};

/** Returns the endpoints in the best state that has any: trusted, then silent, then suspended. */
const selectUsable = (input: EndpointChoiceInput): readonly Endpoint[] => {
  const { request, nowMs } = input;
  const allowed = input.endpoints.filter(
    (endpoint) => !request.excluded.has(endpoint.record.id) && hasRequiredWeights(input, endpoint),
  );
  const unsuspended = allowed.filter((endpoint) => !endpoint.isSuspended(nowMs));
  const trusted = unsuspended.filter((endpoint) => !hasMissedHeartbeats(input, endpoint));
  if (trusted.length > 0) return trusted;
  return unsuspended.length > 0 ? unsuspended : allowed;
};

/** Returns the endpoint that holds a prompt's shared parts, if any does; one near their store. */
const chooseOwnerId = ({ request, endpoints }: EndpointChoiceInput): string | undefined => {
  const part = getAffinityPart(request.parts);
  if (part === undefined) return undefined;
  const near = endpoints.filter(({ record }) => record.zone === request.store?.zone);
  // All ready endpoints take part, so that a short suspension doesn't move every prompt.
  const candidates = near.length > 0 ? near : endpoints;
  return chooseAffinityOwner(
    `${request.cacheSalt ?? ''}/${part.id}`,
    candidates.map(({ record }) => record.id),
  );
};

/**
 * Chooses the endpoint with the least cost: waiting, reading what is not cached, distance and the
 * share of failed answers. Near ties are drawn, so that nodes with the same view don't all choose the
 * same endpoint.
 *
 * @returns undefined if no endpoint may take the request
 * @example
 * const placement = chooseEndpoint(input);
 * if (placement === undefined) return refuse('no_endpoint');
 */
export const chooseEndpoint = (input: EndpointChoiceInput): Placement | undefined => {
  const usable = selectUsable(input);
  if (usable.length === 0) return undefined;
  const ownerId = chooseOwnerId(input);
  const placements = usable.map((endpoint) => computePlacement(input, endpoint, ownerId));
  const best = placements.reduce((least, placement) =>
    placement.costMs < least.costMs ? placement : least,
  );
  const limit = best.costMs * (1 + NEAR_TIE_SHARE);
  const ties = placements.filter(
    ({ costMs, uncachedTokens }) => costMs <= limit && uncachedTokens <= best.uncachedTokens,
  );
  const chosen = ties[Math.floor(input.random() * ties.length)] ?? best;
  return { ...chosen, candidates: usable.length };
};
