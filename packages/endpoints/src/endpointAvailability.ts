import type { Endpoint } from './endpoint.js';

/** Whether a registered endpoint may get a request from this node now, or why not. */
export type EndpointAvailability =
  | { readonly type: 'available' }
  /** The endpoint announced that it is leaving; it gets no requests any more. */
  | { readonly type: 'leaving' }
  /** The endpoint is loading weights; it is used if no other is available. */
  | { readonly type: 'loading_weights' }
  /** All connections that this node may open to the endpoint are in use. */
  | { readonly type: 'no_connection' }
  /** The limit of requests per second that the endpoint named allows this node none now. */
  | { readonly type: 'rate_limited' };

export interface AvailabilityInput {
  readonly isLeaving: boolean;
  readonly hasFreeConnection: boolean;
  /** Called only if nothing else forbids a request, as it may use up the time of a probe. */
  readonly isWithinRateLimit: () => boolean;
  readonly isLoadingWeights: boolean;
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
  isLeaving,
  hasFreeConnection,
  isWithinRateLimit,
  isLoadingWeights,
}: AvailabilityInput): EndpointAvailability => {
  if (isLeaving) return { type: 'leaving' };
  if (!hasFreeConnection) return { type: 'no_connection' };
  if (!isWithinRateLimit()) return { type: 'rate_limited' };
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
      case 'rate_limited':
        endpoints.push(endpoint);
        unavailableIds.push(endpoint.record.id);
        break;
      case 'leaving':
      case 'no_connection':
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
