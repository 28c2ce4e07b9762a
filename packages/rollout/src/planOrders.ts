import { MAX_CHANGING_SHARE } from './constants.js';
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
  readonly changing: ReadonlySet<string>;
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

/** Returns the number of endpoints that may change at once: a share, but at least two. */
export const computeMaxChanging = (endpoints: number): number =>
  Math.max(2, Math.floor(endpoints * MAX_CHANGING_SHARE));

/**
 * Plans the orders that may be given now, those with the oldest weights first.
 *
 * @example
 * for (const order of planOrders({ endpoints, targets, changing })) startOrder(order);
 */
export const planOrders = ({ endpoints, targets, changing }: PlanInput): PlannedOrder[] => {
  const planned: PlannedOrder[] = [];
  for (const endpoint of endpoints) {
    if (changing.has(endpoint.id)) continue;
    const target = findStaleTarget(endpoint, targets);
    if (target !== undefined) planned.push({ endpoint, target });
  }
  const getVersion = ({ endpoint, target }: PlannedOrder) =>
    endpoint.weights.get(target.model) ?? 0;
  planned.sort((a, b) => getVersion(a) - getVersion(b));
  const free = computeMaxChanging(endpoints.length) - changing.size;
  return planned.slice(0, Math.max(0, free));
};
