import type { Endpoint } from './endpoint.js';

/** Whether a registered endpoint may get a request from this node now, or why not. */
export type EndpointAvailability =
  | { readonly type: 'available' }
  /** The endpoint is cold, and this node's share of the requests that it bears is used up. */
  | { readonly type: 'cold' }
  /** The endpoint announced that it is leaving; it gets no requests any more. */
  | { readonly type: 'leaving' }
  /** The endpoint rejected a request and wants no others until a clock reading. */
  | { readonly type: 'held'; readonly untilMs: number }
  /** The endpoint is loading weights; it is used if no other is available. */
  | { readonly type: 'loading_weights' }
  /** The operator has evacuated the endpoint's zone. */
  | { readonly type: 'evacuated' }
  /** The endpoint is in a region in which the request may not be processed. */
  | { readonly type: 'outside_region' }
  /** The request goes on with a stream that another software version began. */
  | { readonly type: 'other_software' }
  /** All connections that this node may open to the endpoint are in use. */
  | { readonly type: 'no_connection' }
  /** The limit of requests per second that the endpoint named allows this node none now. */
  | { readonly type: 'rate_limited' }
  /** This node doesn't reach the endpoint over the network. */
  | { readonly type: 'unreachable' }
  /** The endpoint falls over if it rejects too much, and this node's share of rejections is used up or room is unlikely. */
  | { readonly type: 'brittle' };

export interface AvailabilityInput {
  /** Whether the endpoint has the software version that the request needs, if it needs one. */
  readonly hasNeededSoftware: boolean;
  readonly isInAllowedRegion: boolean;
  readonly isEvacuated: boolean;
  readonly isLeaving: boolean;
  /** Clock reading until which the endpoint wants no requests, if there is one. */
  readonly heldUntilMs: number | undefined;
  readonly hasFreeConnection: boolean;
  /** Whether connections to the endpoint carry requests, or an idle one still does. */
  readonly isReachable: boolean;
  /** Called only if nothing else forbids a request, as it may use up the time of a probe. */
  readonly isWithinRateLimit: () => boolean;
  readonly isCold: boolean;
  readonly isLoadingWeights: boolean;
  /** Called only if nothing else forbids a request. */
  readonly isWithinRejectionShare: () => boolean;
}

/** An endpoint with its availability. */
export interface EndpointCandidate {
  readonly endpoint: Endpoint;
  readonly availability: EndpointAvailability;
}

/** The candidates that a choice is made among. */
export interface CandidateSelection {
  /** Endpoints that count as owners of prompts. */
  readonly endpoints: readonly Endpoint[];
  /** Ids of those among them that may not get a request now. */
  readonly unavailableIds: readonly string[];
}

/**
 * Decides whether an endpoint may get a request now.
 *
 * @example
 * const availability = decideAvailability(input);
 * if (availability.type === 'available') send(endpoint);
 */
export const decideAvailability = ({
  hasNeededSoftware,
  isInAllowedRegion,
  isEvacuated,
  isLeaving,
  heldUntilMs,
  hasFreeConnection,
  isReachable,
  isWithinRateLimit,
  isCold,
  isLoadingWeights,
  isWithinRejectionShare,
}: AvailabilityInput): EndpointAvailability => {
  if (!hasNeededSoftware) return { type: 'other_software' };
  if (!isInAllowedRegion) return { type: 'outside_region' };
  if (isEvacuated) return { type: 'evacuated' };
  if (isLeaving) return { type: 'leaving' };
  if (heldUntilMs !== undefined) return { type: 'held', untilMs: heldUntilMs };
  if (!isReachable) return { type: 'unreachable' };
  if (!hasFreeConnection) return { type: 'no_connection' };
  if (!isWithinRateLimit()) return { type: isCold ? 'cold' : 'rate_limited' };
  if (!isWithinRejectionShare()) return { type: 'brittle' };
  return isLoadingWeights ? { type: 'loading_weights' } : { type: 'available' };
};

/**
 * Selects the endpoints to choose among. Those that take no request only for a while still count as owners
 * of prompts, so that their prompts don't move. Endpoints that are loading weights are selected only if no
 * other is available.
 *
 * @example
 * const { endpoints, unavailableIds } = selectCandidates(candidates);
 */
export const selectCandidates = (candidates: readonly EndpointCandidate[]): CandidateSelection => {
  const hasAvailable = candidates.some(({ availability }) => availability.type === 'available');
  const endpoints: Endpoint[] = [];
  const unavailableIds: string[] = [];
  for (const { endpoint, availability } of candidates) {
    switch (availability.type) {
      case 'available':
        endpoints.push(endpoint);
        break;
      case 'loading_weights':
        if (!hasAvailable) endpoints.push(endpoint);
        break;
      case 'cold':
      case 'held':
      case 'rate_limited':
      case 'unreachable':
      case 'brittle':
        endpoints.push(endpoint);
        unavailableIds.push(endpoint.record.id);
        break;
      case 'leaving':
      case 'evacuated':
      case 'no_connection':
      case 'other_software':
      case 'outside_region':
        break;
      default:
        availability satisfies never;
    }
  }
  return { endpoints, unavailableIds };
};

/** Number of endpoints by availability. */
export type AvailabilityCounts = Partial<Record<EndpointAvailability['type'], number>>;

/** Counts endpoints by availability; a type that no endpoint has is left out. */
export const countAvailabilities = (
  candidates: readonly EndpointCandidate[],
): AvailabilityCounts => {
  const counts: AvailabilityCounts = {};
  for (const { availability } of candidates)
    counts[availability.type] = (counts[availability.type] ?? 0) + 1;
  return counts;
};

/** Why a request is kept from an endpoint that could serve it otherwise. */
export type PlacementRestriction = 'cold' | 'evacuated' | 'region';

/** Counts the endpoints that placement rules keep from a request, by rule; undefined if there are none. */
export const countRestrictions = (
  candidates: readonly EndpointCandidate[],
): Partial<Record<PlacementRestriction, number>> | undefined => {
  const { outside_region: region, evacuated, cold } = countAvailabilities(candidates);
  if (region === undefined && evacuated === undefined && cold === undefined) return undefined;
  return {
    ...(region === undefined ? {} : { region }),
    ...(evacuated === undefined ? {} : { evacuated }),
    ...(cold === undefined ? {} : { cold }),
  };
};

/**
 * Returns the clock reading at which the first held endpoint may get requests again, if nothing but holds
 * keeps the endpoints that stay from getting one; otherwise undefined.
 */
export const findEarliestHoldEndMs = (
  candidates: readonly EndpointCandidate[],
): number | undefined => {
  let earliestMs: number | undefined;
  for (const { availability } of candidates) {
    switch (availability.type) {
      case 'leaving':
      case 'evacuated':
      case 'other_software':
      case 'outside_region':
        break;
      case 'held':
        earliestMs = Math.min(earliestMs ?? availability.untilMs, availability.untilMs);
        break;
      case 'available':
      case 'cold':
      case 'loading_weights':
      case 'no_connection':
      case 'rate_limited':
      case 'unreachable':
      case 'brittle':
        return undefined;
      default:
        return availability satisfies never;
    }
  }
  return earliestMs;
};
