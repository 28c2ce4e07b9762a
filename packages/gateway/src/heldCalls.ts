import { getDominantMs } from '@lovagearch/admission';
import type { AccountId } from '@lovagearch/common';
import { HOLD_CHECK_INTERVAL_MS, HOLD_END_MARGIN_MS } from './constants.js';
import type { RoutedRequest } from './createAttempt.js';
import { getPatienceMs, type RequestTiming } from './createOverloadRefusal.js';
import type { GatewayContext } from './gatewayContext.js';
import type { HeldCall } from './overloadState.js';
import type { ChosenEndpoint } from './placeRequest.js';
import { computeCapacityShare, createDemand, getPriority } from './planReturn.js';
import { logHeld, logHoldEnded } from './requestLog.js';

/** A request that starts to wait at this node. */
export interface HoldInput extends RequestTiming {
  readonly routedRequest: RoutedRequest;
  /** The best endpoint at the time of the decision. */
  readonly chosen: ChosenEndpoint;
  readonly reason: string;
  readonly findRoom: () => ChosenEndpoint | undefined;
}

/** A wait for room; `cancel` ends it at once. */
export interface Hold {
  readonly ended: Promise<ChosenEndpoint | undefined>;
  readonly cancel: () => void;
}

/** Requests that wait at this node for room at an endpoint. Their connections and bodies are all that they hold. */
export class HeldCalls {
  private timer: NodeJS.Timeout | undefined;

  static create(): HeldCalls {
    return new HeldCalls();
  }

  /**
   * Holds a request until an endpoint has room for it or its time ends.
   *
   * @returns undefined if too many requests wait already
   * @example
   * const hold = heldCalls.hold(context, input);
   * const chosen = await hold?.ended;
   */
  hold(
    context: GatewayContext,
    { routedRequest, chosen, reason, findRoom, elapsedMs, timeLimitMs }: HoldInput,
  ): Hold | undefined {
    const { head, route, service, account, body } = routedRequest;
    const nowMs = context.clock.nowMs();
    const arrivedAtMs = nowMs - elapsedMs;
    const { ownMs, uncachedTokens } = chosen.placement;
    const patienceMs = getPatienceMs(routedRequest, timeLimitMs);
    let finish: HeldCall['finish'] = () => undefined;
    const ended = new Promise<ChosenEndpoint | undefined>((resolve) => {
      finish = resolve;
    });
    const call: HeldCall = {
      id: head.requestId,
      account: (account?.name ?? '') as AccountId,
      priority: getPriority(routedRequest),
      tokens: uncachedTokens,
      workMs: getDominantMs(createDemand(context, routedRequest, chosen).work),
      bytes: body?.length ?? 0,
      timelyUntilMs: arrivedAtMs + route.targetLatencyMs - ownMs,
      endAtMs: arrivedAtMs + patienceMs - ownMs - HOLD_END_MARGIN_MS,
      findRoom,
      finish: (released) => {
        const heldMs = context.clock.nowMs() - nowMs;
        logHoldEnded(context, routedRequest, heldMs, released !== undefined);
        finish(released);
      },
    };
    const { heldCalls } = context.overloadState.getService(service);
    if (!heldCalls.add(call, nowMs)) return undefined;
    context.metrics.recordAdmission(route.name, 'hold', reason);
    logHeld(context, routedRequest, chosen, reason, heldCalls.size);
    this.timer ??= setInterval(() => this.releaseCalls(context), HOLD_CHECK_INTERVAL_MS);
    return {
      ended,
      cancel: () => {
        if (heldCalls.remove(call)) call.finish(undefined);
      },
    };
  }

  private releaseCalls(context: GatewayContext): void {
    const nowMs = context.clock.nowMs();
    // Another process serves the next attempt sooner than one that is shutting down.
    const endMs = context.getShutdown() === undefined ? nowMs : Number.POSITIVE_INFINITY;
    let count = 0;
    for (const [service, { heldCalls }] of context.overloadState.listServices()) {
      for (const call of heldCalls.takeExpired(endMs)) call.finish(undefined);
      count += heldCalls.size;
      if (heldCalls.size > 0) this.releaseNext(context, service);
    }
    if (count > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  /** Sends the next request that has room, and then the one after it once the first counts at its endpoint. */
  private releaseNext(context: GatewayContext, service: string): void {
    const { heldCalls } = context.overloadState.getService(service);
    // The queue may ask for several requests, and take the first one after it has asked for another.
    const rooms = new Map<HeldCall, ChosenEndpoint>();
    const hasRoom = (call: HeldCall): boolean => {
      const chosen = call.findRoom();
      if (chosen !== undefined) rooms.set(call, chosen);
      return chosen !== undefined;
    };
    const capacity = computeCapacityShare(context, service);
    const call = heldCalls.take(hasRoom, capacity, context.clock.nowMs());
    if (call === undefined) return;
    call.finish(rooms.get(call));
    if (heldCalls.size > 0) setImmediate(() => this.releaseNext(context, service));
  }
}
