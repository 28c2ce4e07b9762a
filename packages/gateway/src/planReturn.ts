import { UNKNOWN_WORK_MS } from './constants.js';
import type { RoutedRequest } from './createAttempt.js';
import type { GatewayContext } from './gatewayContext.js';
import type { ChosenEndpoint } from './placeRequest.js';

/** Forecast of the room for a refused request. */
export interface RoomForecast {
  /** Time until an endpoint may take the request if refused work stays away. */
  readonly drainMs: number;
  /** Work of the request at an endpoint; undefined if no endpoint was compared. */
  readonly workMs: number | undefined;
  readonly remainingMs: number;
}

/** Returns the time for which a request keeps an endpoint from starting others, in milliseconds. */
export const computeWorkMs = (
  { route }: RoutedRequest,
  { endpoint, placement }: ChosenEndpoint,
): number => {
  const workMs = Math.max(0, placement.ownMs - placement.roundTripMs);
  // Engines read one prompt after the other; other endpoints run as many calls as they have slots.
  return route.hasPromptParts ? workMs : workMs / Math.max(1, endpoint.record.slots);
};

/** Returns this node's share of the work that a service does, in milliseconds of work per millisecond. */
export const computeCapacityShare = ({ clusterState }: GatewayContext, service: string): number =>
  Math.max(1, clusterState.endpoints.listReady(service).length) / clusterState.nodeCount;

/** Plans the return of a refused request; returns its delay in milliseconds. */
export const planReturn = (
  context: GatewayContext,
  { route, service, account }: RoutedRequest,
  { drainMs, workMs, remainingMs }: RoomForecast,
): number =>
  context.overloadState.getService(service).returnSchedule.plan(
    {
      priority: account?.priority ?? route.priority,
      drainMs,
      workMs: workMs ?? UNKNOWN_WORK_MS,
      capacity: computeCapacityShare(context, service),
      remainingMs,
      randomFraction: context.random(),
    },
    context.clock.nowMs(),
  );
