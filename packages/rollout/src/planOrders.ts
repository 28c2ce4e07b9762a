import { ENDPOINT_UPDATE_MS, BASE_UNAVAILABLE_SHARE, MAX_UNAVAILABLE_SHARE } from './constants.js';
import type { RolloutEndpoint, WeightTarget } from './types.js';

/** An endpoint that has to change its weights. */
export interface PlannedOrder {
  readonly endpoint: RolloutEndpoint;
  readonly target: WeightTarget;
}

export interface PlanInput {
  /** Endpoints of the services that run the models, leaving ones excluded. */
  readonly endpoints: readonly RolloutEndpoint[];
  readonly targets: readonly WeightTarget[];
  /** Endpoints at which an order is under way. */
  readonly updating: ReadonlySet<string>;
  /** Time until all endpoints should have the named weights, in milliseconds. */
  readonly remainingMs: number;
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
 * Returns the number of endpoints that may change at once: as few as finish in time, as those that
 * change serve nobody, but at least a share that does not slow the loads down.
 *
 * @param endpoints all endpoints of the service
 * @param stale those that still have to change
 * @param leftMs time until all of them should have changed
 */
export const computeMaxUnavailable = (endpoints: number, stale: number, leftMs: number): number => {
  const least = Math.max(1, Math.floor(endpoints * BASE_UNAVAILABLE_SHARE));
  const most = Math.max(least, Math.floor(endpoints * MAX_UNAVAILABLE_SHARE));
  const needed = Math.ceil((stale * ENDPOINT_UPDATE_MS) / Math.max(1, leftMs));
  return Math.min(most, Math.max(least, needed));
};

/**
 * Plans the orders that may be given now, those with the oldest weights first.
 *
 * @example
 * for (const order of planOrders({ endpoints, targets, changing, leftMs })) startOrder(order);
 */
export const planOrders = ({
  endpoints,
  targets,
  updating: changing,
  remainingMs: leftMs,
}: PlanInput): PlannedOrder[] => {
  const planned: PlannedOrder[] = [];
  for (const endpoint of endpoints) {
    if (changing.has(endpoint.id)) continue;
    const target = findStaleTarget(endpoint, targets);
    if (target !== undefined) planned.push({ endpoint, target });
  }
  const getVersion = ({ endpoint, target }: PlannedOrder) =>
    endpoint.weights.get(target.model) ?? 0;
  planned.sort((a, b) => getVersion(a) - getVersion(b));
  const stale = planned.length + changing.size;
  const free = computeMaxUnavailable(endpoints.length, stale, leftMs) - changing.size;
  return planned.slice(0, Math.max(0, free));
};
