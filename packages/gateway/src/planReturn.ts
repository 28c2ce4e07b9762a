import type { EndpointWork, RequestDemand } from '@lovagearch/admission';
import { MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS, UNKNOWN_WORK_MS } from './constants.js';
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

/** Computes the time for which a request alone uses up each resource of an endpoint. */
const computeWork = (
  context: GatewayContext,
  { head, route, service }: RoutedRequest,
  { endpoint, placement }: ChosenEndpoint,
): EndpointWork => {
  const ownMs = Math.max(0, placement.ownMs - placement.roundTripMs);
  const slots = Math.max(1, endpoint.record.slots);
  if (!route.hasPromptParts) return { prefillMs: 0, memoryMs: 0, slotMs: ownMs / slots };
  const { residenceMs } = endpoint.timings;
  const memoryTokens = head.promptTokens + head.maxOutputTokens;
  const capacityTokens =
    context.clusterState.trafficRules?.findService(service)?.engine?.memoryTokens;
  return {
    prefillMs: ownMs,
    memoryMs: capacityTokens ? (residenceMs * memoryTokens) / capacityTokens : 0,
    slotMs: residenceMs / slots,
  };
};

/** Returns the account's priority, or that of the route if the account has none; 0 is the most urgent. */
export const getPriority = ({ route, account }: RoutedRequest): number =>
  account?.priority ?? route.priority;

/** Describes what a request takes of the chosen endpoint. */
export const createDemand = (
  context: GatewayContext,
  routedRequest: RoutedRequest,
  chosen: ChosenEndpoint,
): RequestDemand => ({
  route: routedRequest.route.name,
  account: routedRequest.account?.name ?? '',
  priority: getPriority(routedRequest),
  targetLatencyMs: routedRequest.route.targetLatencyMs,
  ownMs: chosen.placement.ownMs,
  work: computeWork(context, routedRequest, chosen),
});

/** Returns this node's share of the work that a service does, in milliseconds of work per millisecond. */
export const computeCapacityShare = ({ clusterState }: GatewayContext, service: string): number =>
  Math.max(1, clusterState.endpoints.listReady(service).length) / clusterState.nodeCount;

/** Plans the return of a refused request; returns its delay in milliseconds. */
export const planReturn = (
  context: GatewayContext,
  routedRequest: RoutedRequest,
  { drainMs, workMs, remainingMs }: RoomForecast,
): number => {
  const { service } = routedRequest;
  if (!context.settings.isDemandAdmissionEnabled)
    return Math.min(MAX_RETRY_AFTER_MS, drainMs + context.random() * MIN_RETRY_AFTER_MS);
  return context.overloadState.getService(service).returnSchedule.plan(
    {
      priority: getPriority(routedRequest),
      drainMs,
      workMs: workMs ?? UNKNOWN_WORK_MS,
      capacity: computeCapacityShare(context, service),
      remainingMs,
      randomFraction: context.random(),
    },
    context.clock.nowMs(),
  );
};
