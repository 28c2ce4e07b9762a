import {
  type AdmissionDecision,
  decideAdmission,
  FREE_CAPACITY_WAIT_MS,
  getDominantMs,
} from '@lovagearch/admission';
import { HELD_EVENT_GAPS, HELD_TARGETS, MIN_CALLER_PATIENCE_MS } from './constants.js';
import { isResumption } from './continuedStreams.js';
import type { RoutedRequest } from './createAttempt.js';
import type { GatewayContext } from './gatewayContext.js';
import { createRefusal, type LocalReply } from './localReply.js';
import type { ChosenEndpoint } from './placeRequest.js';
import { computeCapacityShare, createDemand, getPriority, planReturn } from './planReturn.js';
import { logNotAdmitted } from './requestLog.js';
import { computeFingerprint } from './strikePublisher.js';

/** Times of a request, in milliseconds. */
export interface RequestTiming {
  /** Time since the request arrived. */
  readonly elapsedMs: number;
  /** Time from its arrival to the end of its time limit. */
  readonly timeLimitMs: number;
}

export type OverloadDecision =
  | { readonly type: 'admit' }
  | Extract<AdmissionDecision, { type: 'hold' }>
  | { readonly type: 'refuse'; readonly refusal: LocalReply };

/**
 * Returns the time from the arrival of a request until its caller gives up without an event, in milliseconds. Callers
 * of plain calls wait until the time limit.
 */
export const getPatienceMs = ({ route }: RoutedRequest, timeLimitMs: number): number => {
  if (route.kind !== 'streaming') return timeLimitMs;
  const patienceMs = Math.max(
    MIN_CALLER_PATIENCE_MS,
    route.targetLatencyMs * HELD_TARGETS,
    route.maxEventGapMs * HELD_EVENT_GAPS,
  );
  return Math.min(timeLimitMs, patienceMs);
};

/**
 * Returns the time within which the first byte of a response is worth sending the request, in milliseconds. The route's
 * target is that of the first event; a caller that goes on with a stream has got it, and waits as long as for any event.
 */
export const getAdmissionTargetMs = (routedRequest: RoutedRequest, timeLimitMs: number): number => {
  const { head, route } = routedRequest;
  return route.isResumable && isResumption(head)
    ? getPatienceMs(routedRequest, timeLimitMs)
    : route.targetLatencyMs;
};

const createRepeatKey = ({ head, account, body }: RoutedRequest): string =>
  computeFingerprint(account?.name ?? '', head.path, body);

/** Refuses a request and plans its return. */
const refuse = (
  context: GatewayContext,
  routedRequest: RoutedRequest,
  chosen: ChosenEndpoint,
  decision: Extract<AdmissionDecision, { type: 'refuse' }>,
  remainingMs: number,
): OverloadDecision => {
  const { service, body } = routedRequest;
  const { placement } = chosen;
  const { isDemandAdmissionEnabled } = context.settings;
  const { repeatedRefusals } = context.overloadState.getService(service);
  const workMs = getDominantMs(createDemand(context, routedRequest, chosen).work);
  const retryAfterMs =
    decision.reason === 'hopeless' || !isDemandAdmissionEnabled
      ? decision.retryAfterMs
      : planReturn(context, routedRequest, { drainMs: decision.drainMs, workMs, remainingMs });
  // Equal requests without a body may come from different callers.
  if (isDemandAdmissionEnabled && body !== undefined && body.length > 0)
    repeatedRefusals.record(createRepeatKey(routedRequest), retryAfterMs, context.clock.nowMs());
  logNotAdmitted(context, routedRequest, chosen, { ...decision, retryAfterMs });
  const message = `the best endpoint would take ${Math.round(placement.expectedMs)} ms`;
  return { type: 'refuse', refusal: createRefusal('overloaded', message, retryAfterMs) };
};

/**
 * Decides whether a request joins the queue of an endpoint, without a change of state. Where the deployment doesn't
 * enable it, or without contention, the demand of other kinds and accounts plays no part.
 */
export const decideRequestAdmission = (
  context: GatewayContext,
  routedRequest: RoutedRequest,
  chosen: ChosenEndpoint,
  { elapsedMs, timeLimitMs }: RequestTiming,
  isHeld: boolean,
): AdmissionDecision => {
  const { route, service } = routedRequest;
  const { expectedMs, ownMs } = chosen.placement;
  const priority = getPriority(routedRequest);
  const input = {
    expectedMs,
    ownMs,
    targetLatencyMs: getAdmissionTargetMs(routedRequest, timeLimitMs),
    elapsedMs,
    remainingMs: timeLimitMs - elapsedMs,
    priority,
    randomFraction: context.random(),
  };
  const isContended = expectedMs - ownMs > FREE_CAPACITY_WAIT_MS;
  if (!context.settings.isDemandAdmissionEnabled || !isContended) return decideAdmission(input);
  const nowMs = context.clock.nowMs();
  const { demand, heldCalls } = context.overloadState.getService(service);
  const requestDemand = createDemand(context, routedRequest, chosen);
  const capacity = computeCapacityShare(context, service);
  return decideAdmission({
    ...input,
    typicalOwnMs: demand.getTypicalOwnMs(requestDemand),
    urgent: demand.findUrgentDemand(priority, capacity, nowMs),
    // Only streams carry a priority for the engine.
    lessUrgent:
      route.kind === 'streaming' && route.hasPromptParts
        ? demand.findLessUrgentWork(priority, nowMs)
        : undefined,
    isOverShare: demand.isOverShare(requestDemand.account, priority, nowMs),
    isHeld,
    hold:
      context.getShutdown() === undefined
        ? {
            aheadMs: heldCalls.getWorkAheadMs(priority) / capacity,
            patienceMs: getPatienceMs(routedRequest, timeLimitMs),
          }
        : undefined,
  });
};

/** Records that a request is sent to the chosen endpoint. */
export const recordAdmitted = (
  context: GatewayContext,
  routedRequest: RoutedRequest,
  chosen: ChosenEndpoint,
  isHeld: boolean,
): void => {
  const { route, service } = routedRequest;
  const { demand } = context.overloadState.getService(service);
  demand.recordAdmission(createDemand(context, routedRequest, chosen), context.clock.nowMs());
  context.metrics.recordAdmission(route.name, 'admit', isHeld ? 'held' : 'room');
};

/**
 * Decides whether a request is sent to the chosen endpoint, waits at this node for room, or is refused because its
 * response would be late or would make more urgent ones late.
 *
 * @param isHeld whether the request has waited at this node
 */
export const decideOverload = (
  context: GatewayContext,
  routedRequest: RoutedRequest,
  chosen: ChosenEndpoint,
  timing: RequestTiming,
  isHeld: boolean,
): OverloadDecision => {
  const { route, service } = routedRequest;
  const priority = getPriority(routedRequest);
  const remainingMs = timing.timeLimitMs - timing.elapsedMs;
  const nowMs = context.clock.nowMs();
  const { demand } = context.overloadState.getService(service);
  if (!isHeld) demand.recordArrival(createDemand(context, routedRequest, chosen), nowMs);
  const decision = decideRequestAdmission(context, routedRequest, chosen, timing, isHeld);
  if (decision.headroomMs !== undefined)
    context.metrics.recordHeadroom(priority, decision.headroomMs);
  switch (decision.type) {
    case 'admit':
      // Room is found for held requests whose turn has not come, and again at their turn.
      if (!isHeld) recordAdmitted(context, routedRequest, chosen, false);
      return { type: 'admit' };
    case 'hold':
      return decision;
    case 'refuse':
      // A request that waits is refused only at the end of its time.
      if (isHeld) return { ...decision, type: 'hold' };
      context.metrics.recordAdmission(route.name, 'refuse', decision.reason);
      return refuse(context, routedRequest, chosen, decision, remainingMs);
    default:
      return decision satisfies never;
  }
};

/**
 * Returns the refusal of a request that its caller repeats before the time that it was told, or undefined. No endpoint
 * is compared, and the repeat doesn't count as demand.
 */
export const createRepeatRefusal = (
  context: GatewayContext,
  routedRequest: RoutedRequest,
): LocalReply | undefined => {
  const { service, body, route } = routedRequest;
  if (!context.settings.isDemandAdmissionEnabled) return undefined;
  const { repeatedRefusals } = context.overloadState.getService(service);
  if (repeatedRefusals.isEmpty || body === undefined || body.length === 0) return undefined;
  const nowMs = context.clock.nowMs();
  const remainingMs = repeatedRefusals.findRemainingMs(createRepeatKey(routedRequest), nowMs);
  if (remainingMs === undefined) return undefined;
  context.metrics.recordAdmission(route.name, 'refuse', 'repeated');
  return createRefusal('overloaded', 'the request was repeated before its time', remainingMs);
};
