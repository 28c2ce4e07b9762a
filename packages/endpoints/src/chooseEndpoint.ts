import type { Random } from '@lovagearch/common';
import {
  CROSS_REGION_PENALTY_MS,
  CROSS_REGION_ROUND_TRIP_MS,
  CROSS_REGION_TRANSFER_FACTOR,
  CROSS_ZONE_PENALTY_MS,
  CROSS_ZONE_TRANSFER_FACTOR,
  FAILURE_COST_MS,
  MAX_MISSED_HEARTBEATS,
  MAX_TRANSFER_SHARE,
  NEAR_TIE_SHARE,
  OLD_WEIGHTS_CUTOFF_MARGIN_MS,
  RECENT_ENDPOINT_HIT_SHARE,
  SAME_REGION_ROUND_TRIP_MS,
  SAME_ZONE_ROUND_TRIP_MS,
  SHARED_PREFILL_WEIGHT,
  STALE_TIE_SHARE,
} from './constants.js';
import type { Endpoint } from './endpoint.js';
import {
  chooseAffinityOwner,
  getAffinityPart,
  type PromptCacheEstimator,
} from './promptCacheEstimator.js';
import type { Placement, PlacementRequest, PromptPartStore } from './types.js';

/** Zone and region of this process, and the region of every zone. */
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
  /** Heartbeat interval of the endpoints, in milliseconds. */
  readonly heartbeatMs: number;
  /** Whether registrations are up to date; without that, missing heartbeats prove nothing. */
  readonly areRegistrationsCurrent: boolean;
  /** Number of nodes that place requests on the endpoints. */
  readonly nodeCount: number;
  /** Returns how much longer than usual work takes at an endpoint; by default as long. */
  readonly getWorkFactor?: (endpoint: Endpoint) => number;
  readonly nowMs: number;
  readonly random: Random;
  /** Called with the placements among which the choice is made, for explanations. */
  readonly onCompared?: (placements: readonly Placement[]) => void;
}

/** Why an endpoint is not among those that a choice is made among. */
export type ExclusionReason =
  'excluded' | 'missed_heartbeats' | 'suspended' | 'weights_expire' | 'weights_expire_during_wait';

interface NetworkCost {
  readonly roundTripMs: number;
  readonly penaltyMs: number;
}

const computeNetworkCost = (endpoint: Endpoint, nodeLocation: NodeLocation): NetworkCost => {
  const { zone } = endpoint.record;
  if (zone === nodeLocation.zone) return { roundTripMs: SAME_ZONE_ROUND_TRIP_MS, penaltyMs: 0 };
  if (nodeLocation.regionByZone.get(zone) === nodeLocation.region) {
    return { roundTripMs: SAME_REGION_ROUND_TRIP_MS, penaltyMs: CROSS_ZONE_PENALTY_MS };
  }
  return { roundTripMs: CROSS_REGION_ROUND_TRIP_MS, penaltyMs: CROSS_REGION_PENALTY_MS };
};

interface PrefillTimes {
  /** Prefill time of the last part, which only this request has. */
  readonly ownMs: number;
  /** Prefill time of the shared parts that are neither cached at the endpoint nor transferred. */
  readonly sharedMs: number;
  readonly transferMs: number;
}

const getTransferFactor = (
  store: PromptPartStore,
  endpoint: Endpoint,
  nodeLocation: NodeLocation,
): number => {
  const { zone } = endpoint.record;
  if (zone === store.zone) return 1;
  const isSameRegion =
    nodeLocation.regionByZone.get(zone) === nodeLocation.regionByZone.get(store.zone);
  return isSameRegion ? CROSS_ZONE_TRANSFER_FACTOR : CROSS_REGION_TRANSFER_FACTOR;
};

const isFasterThanPrefill = (endpoint: Endpoint, transferMs: number, tokens: number): boolean =>
  transferMs <= (tokens / endpoint.timings.prefillTokensPerMs) * MAX_TRANSFER_SHARE;

/** Computes the time in which an endpoint loads all shared parts of a prompt from their store; 0 without a store. */
const computeStoreTransferMs = (
  { request: { store }, nodeLocation }: EndpointChoiceInput,
  endpoint: Endpoint,
  sharedTokens: number,
): number => {
  if (store === undefined || sharedTokens === 0) return 0;
  const factor = getTransferFactor(store, endpoint, nodeLocation);
  return store.transferLatencyMs + sharedTokens * store.msPerToken * factor;
};

/** Computes the times to prefill or transfer the prompt tokens that an endpoint has not cached. */
const computePrefillTimes = (
  { request, nodeLocation }: EndpointChoiceInput,
  endpoint: Endpoint,
  uncachedTokens: number,
): PrefillTimes => {
  const { store, parts, model } = request;
  const weights = model === undefined ? undefined : endpoint.record.weights.get(model);
  const ownTokens = Math.min(uncachedTokens, parts.at(-1)?.tokens ?? 0);
  const sharedTokens = uncachedTokens - ownTokens;
  const { prefillTokensPerMs } = endpoint.timings;
  const ownMs = ownTokens / prefillTokensPerMs;
  if (store === undefined || sharedTokens === 0) {
    return { ownMs, sharedMs: sharedTokens / prefillTokensPerMs, transferMs: 0 };
  }
  // Parts that the store doesn't have may be transferred from the endpoint that last computed them.
  const transferTokens =
    sharedTokens * (store.hasPartsFor(weights) ? 1 : RECENT_ENDPOINT_HIT_SHARE);
  const factor = getTransferFactor(store, endpoint, nodeLocation);
  const transferMs = store.transferLatencyMs + transferTokens * store.msPerToken * factor;
  if (!isFasterThanPrefill(endpoint, transferMs, transferTokens)) {
    return { ownMs, sharedMs: sharedTokens / prefillTokensPerMs, transferMs: 0 };
  }
  return { ownMs, sharedMs: (sharedTokens - transferTokens) / prefillTokensPerMs, transferMs };
};

/** Computes this node's share of the tokens that an engine can take before it drops earlier ones. */
const computeRetainedTokens = (
  { request: { engineMemoryTokens }, nodeCount, nowMs }: EndpointChoiceInput,
  endpoint: Endpoint,
): number => {
  if (engineMemoryTokens === 0) return Number.POSITIVE_INFINITY;
  const freeTokens = engineMemoryTokens - endpoint.estimateMemoryTokens(nowMs, nodeCount);
  return Math.max(0, freeTokens) / nodeCount;
};

const computePlacement = (
  input: EndpointChoiceInput,
  endpoint: Endpoint,
  ownerId: string | undefined,
): Placement => {
  const { request, promptCache, nowMs, nodeLocation, nodeCount } = input;
  const { roundTripMs, penaltyMs } = computeNetworkCost(endpoint, nodeLocation);
  const failureMs = endpoint.recentFailureShare * FAILURE_COST_MS;
  const workFactor = input.getWorkFactor?.(endpoint) ?? 1;
  const promptTokens = request.parts.reduce((sum, { tokens }) => sum + tokens, 0);
  if (promptTokens === 0) {
    const { running, waiting } = endpoint.estimateRequests(nowMs, nodeCount);
    const processingMs = endpoint.estimateProcessingMs(nowMs) * workFactor;
    const slots = Math.max(1, endpoint.record.slots);
    const queueMs = (Math.max(0, running + waiting + 1 - slots) / slots) * processingMs;
    // Endpoints slow down as their slots fill up.
    const contentionMs = (running / slots) * processingMs * 0.5;
    const expectedMs = roundTripMs + queueMs + processingMs;
    const costMs = expectedMs + contentionMs + penaltyMs + failureMs;
    return {
      endpointId: endpoint.record.id,
      expectedMs,
      ownMs: roundTripMs + processingMs,
      roundTripMs,
      uncachedTokens: 0,
      ownerId,
      transferMs: 0,
      storeTransferMs: 0,
      isTransferWorthwhile: false,
      costMs,
      candidates: 0,
    };
  }
  const salt = request.cacheSalt ?? '';
  const cached = promptCache.estimateCachedTokens({
    parts: request.parts,
    salt,
    endpointId: endpoint.record.id,
    ownerId,
    retainedTokens: computeRetainedTokens(input, endpoint),
    nowMs,
  });
  const uncachedTokens = promptTokens - cached;
  const usual = computePrefillTimes(input, endpoint, uncachedTokens);
  const prefill = {
    ...usual,
    ownMs: usual.ownMs * workFactor,
    sharedMs: usual.sharedMs * workFactor,
  };
  const waitMs = endpoint.estimateWaitMs(nowMs, nodeCount);
  const queueMs =
    waitMs +
    endpoint.estimateMemoryWaitMs(
      request.memoryTokens,
      request.engineMemoryTokens,
      nowMs,
      nodeCount,
    );
  const prefillMs = prefill.ownMs + prefill.sharedMs;
  const contentionFactor = endpoint.contention.estimateOver(prefillMs, nowMs, queueMs);
  const sharedTokens = promptTokens - (request.parts.at(-1)?.tokens ?? 0);
  const storeTransferMs = computeStoreTransferMs(input, endpoint, sharedTokens);
  const ownMs =
    roundTripMs + (endpoint.timings.overheadMs + prefillMs) * contentionFactor + prefill.transferMs;
  const expectedMs = queueMs + ownMs;
  const costMs =
    roundTripMs +
    penaltyMs +
    queueMs +
    prefill.ownMs * contentionFactor +
    prefill.sharedMs * contentionFactor * SHARED_PREFILL_WEIGHT +
    prefill.transferMs +
    failureMs;
  return {
    endpointId: endpoint.record.id,
    expectedMs,
    ownMs,
    roundTripMs,
    uncachedTokens,
    ownerId,
    transferMs: prefill.transferMs,
    storeTransferMs,
    // What an endpoint seems to have cached plays no part: engines drop parts unnoticed, and load only what they lack.
    isTransferWorthwhile:
      storeTransferMs > 0 && isFasterThanPrefill(endpoint, storeTransferMs, sharedTokens),
    costMs,
    candidates: 0,
  };
};

const hasMissedHeartbeats = (input: EndpointChoiceInput, endpoint: Endpoint): boolean =>
  input.areRegistrationsCurrent &&
  endpoint.getHeartbeatAgeMs(input.nowMs) > input.heartbeatMs * MAX_MISSED_HEARTBEATS;

/**
 * Whether a request that starts after a wait still starts on weights that are in use then. The margin is for
 * errors of the estimated wait.
 */
const canStartInTime = (
  { request }: EndpointChoiceInput,
  endpoint: Endpoint,
  waitMs: number,
): boolean => {
  if (request.model === undefined) return true;
  const version = endpoint.record.weights.get(request.model) ?? 0;
  return request.getWeightsRemainingMs(version) > waitMs + OLD_WEIGHTS_CUTOFF_MARGIN_MS;
};

/**
 * Returns the allowed endpoints in the best health state that has any: healthy ones, then those with
 * missed heartbeats, then suspended ones.
 */
const selectUsable = (input: EndpointChoiceInput): readonly Endpoint[] => {
  const { request, nowMs } = input;
  const allowed = input.endpoints.filter(
    (endpoint) => !request.excluded.has(endpoint.record.id) && canStartInTime(input, endpoint, 0),
  );
  const unsuspended = allowed.filter((endpoint) => !endpoint.isSuspended(nowMs));
  const healthy = unsuspended.filter((endpoint) => !hasMissedHeartbeats(input, endpoint));
  // A store may show a registration only when more than its heartbeat count has changed. Then a fresh heartbeat
  // is that of the endpoint which changed last, and the others haven't missed any.
  if (healthy.length > unsuspended.length / 2) return healthy;
  return unsuspended.length > 0 ? unsuspended : allowed;
};

/** Returns why an endpoint is not compared, given that it is not. */
export const findExclusionReason = (
  input: EndpointChoiceInput,
  endpoint: Endpoint,
): ExclusionReason => {
  if (input.request.excluded.has(endpoint.record.id)) return 'excluded';
  if (!canStartInTime(input, endpoint, 0)) return 'weights_expire';
  if (endpoint.isSuspended(input.nowMs)) return 'suspended';
  if (hasMissedHeartbeats(input, endpoint)) return 'missed_heartbeats';
  return 'weights_expire_during_wait';
};

/** Chooses the affinity owner of a prompt's shared parts, if possible in the zone of their store. */
const chooseOwnerId = ({ request, endpoints }: EndpointChoiceInput): string | undefined => {
  const part = getAffinityPart(request.parts);
  if (part === undefined) return undefined;
  const endpointsNearStore = endpoints.filter(({ record }) => record.zone === request.store?.zone);
  // Suspended endpoints are included, so that a short suspension doesn't move their prompts.
  const candidates = endpointsNearStore.length > 0 ? endpointsNearStore : endpoints;
  return chooseAffinityOwner(
    `${request.cacheSalt ?? ''}/${part.id}`,
    candidates.map(({ record }) => record.id),
  );
};

/**
 * Returns the share within which costs count as equal. Calls take about as long as a load report needs to arrive. Where
 * endpoints are steered by figures that change faster, and calls queue, all nodes would follow the same small differences.
 */
const getTieShare = ({ request, endpoints }: EndpointChoiceInput, best: Placement): number =>
  request.parts.length === 0 &&
  best.expectedMs > best.ownMs &&
  endpoints.some(({ contention }) => contention.isReported)
    ? STALE_TIE_SHARE
    : NEAR_TIE_SHARE;

/**
 * Chooses the endpoint with the lowest cost, which is computed from queueing, prefill of uncached
 * tokens, network distance and the share of failed responses. Near ties are broken at random, so that
 * nodes with the same view don't all choose the same endpoint.
 *
 * @returns undefined if no endpoint may serve the request
 * @example
 * const placement = chooseEndpoint(input);
 * if (placement === undefined) return refuse('no_endpoint');
 */
export const chooseEndpoint = (input: EndpointChoiceInput): Placement | undefined => {
  const usable = selectUsable(input);
  if (usable.length === 0) return undefined;
  const ownerId = chooseOwnerId(input);
  const placements: Placement[] = [];
  for (const endpoint of usable) {
    const placement = computePlacement(input, endpoint, ownerId);
    if (canStartInTime(input, endpoint, placement.expectedMs)) placements.push(placement);
  }
  input.onCompared?.(placements);
  if (placements.length === 0) return undefined;
  const best = placements.reduce((least, placement) =>
    placement.costMs < least.costMs ? placement : least,
  );
  const limit = best.costMs * (1 + getTieShare(input, best));
  const ties = placements.filter(
    ({ costMs, uncachedTokens }) => costMs <= limit && uncachedTokens <= best.uncachedTokens,
  );
  const chosen = ties[Math.floor(input.random() * ties.length)] ?? best;
  return { ...chosen, candidates: placements.length };
};
