import {
  BASE_UNAVAILABLE_SHARE,
  ENDPOINT_UPDATE_MS,
  MAX_UNAVAILABLE_SHARE,
  ROLLOUT_MARGIN_MS,
} from './constants.js';
import type { RolloutEndpoint, WeightTarget } from './types.js';

/** An endpoint that has to load a target weight version. */
export interface PlannedOrder {
  readonly endpoint: RolloutEndpoint;
  readonly target: WeightTarget;
}

export interface PlanInput {
  /** Endpoints of the services that run the models, except those that are leaving. */
  readonly endpoints: readonly RolloutEndpoint[];
  readonly targets: readonly WeightTarget[];
  /** Ids of the endpoints that have an order in progress. */
  readonly updating: ReadonlySet<string>;
  /** Whether an endpoint gets no requests, so that the others are updated first. */
  readonly isEvacuated?: (endpoint: RolloutEndpoint) => boolean;
  /** Returns the time for which requests may still start on a version of a model, in milliseconds. */
  readonly getRemainingMs: (model: string, version: number) => number;
}

const findStaleTarget = (
  endpoint: RolloutEndpoint,
  targets: readonly WeightTarget[],
): WeightTarget | undefined => {
  for (const target of targets) {
    const version = endpoint.weights.get(target.model);
    if (version !== undefined && version < target.version) return target;
  }
  return undefined;
};

/**
 * Computes how many endpoints may be updated at once. Endpoints serve no requests during an update,
 * so this is the smallest number that finishes in time, but not less than the share at which loads
 * do not slow each other down.
 *
 * @param endpoints all endpoints of the service
 * @param stale endpoints that are being updated or still have to be
 * @param remainingMs time until all of them should be updated, in milliseconds
 */
export const computeMaxUnavailable = (
  endpoints: number,
  stale: number,
  remainingMs: number,
): number => {
  const least = Math.max(1, Math.floor(endpoints * BASE_UNAVAILABLE_SHARE));
  const most = Math.max(least, Math.floor(endpoints * MAX_UNAVAILABLE_SHARE));
  const needed = Math.ceil((stale * ENDPOINT_UPDATE_MS) / Math.max(1, remainingMs));
  return Math.min(most, Math.max(least, needed));
};

/**
 * Plans the orders that may be sent now, endpoints with the oldest weights first and those of evacuated zones last.
 *
 * @example
 * const planned = planOrders({ endpoints, targets, updating, getRemainingMs });
 * for (const order of planned) startOrder(order);
 */
export const planOrders = ({
  endpoints,
  targets,
  updating,
  isEvacuated = () => false,
  getRemainingMs,
}: PlanInput): PlannedOrder[] => {
  const planned: PlannedOrder[] = [];
  let remainingMs = Number.POSITIVE_INFINITY;
  const getVersion = ({ endpoint, target }: PlannedOrder) =>
    endpoint.weights.get(target.model) ?? 0;
  for (const endpoint of endpoints) {
    if (updating.has(endpoint.id)) continue;
    const target = findStaleTarget(endpoint, targets);
    if (target === undefined) continue;
    const order = { endpoint, target };
    planned.push(order);
    remainingMs = Math.min(remainingMs, getRemainingMs(target.model, getVersion(order)));
  }
  const evacuated = new Set(planned.filter(({ endpoint }) => isEvacuated(endpoint)));
  planned.sort(
    (a, b) => Number(evacuated.has(a)) - Number(evacuated.has(b)) || getVersion(a) - getVersion(b),
  );
  const stale = planned.length + updating.size;
  const free =
    computeMaxUnavailable(endpoints.length, stale, remainingMs - ROLLOUT_MARGIN_MS) - updating.size;
  return planned.slice(0, Math.max(0, free));
};
