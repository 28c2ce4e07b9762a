import { BoundedMap } from '@lovagearch/common';
import type { GatewayContext } from '../gatewayContext.js';
import { logBrittleWaitEnded } from '../requestLog.js';
import type { ChosenEndpoint } from '../placeRequest.js';

/**
 * Longest time for which a request waits at this node until a brittle endpoint may take it, in milliseconds. A request
 * on its way to an endpoint that is heard keeps others from it for 150 ms.
 */
export const MAX_BRITTLE_WAIT_MS = 250;
/** Requests of a service that wait; those beyond it are refused at once. */
const MAX_WAITING = 64;
/** Interval at which the requests that wait are placed again, in milliseconds, and most failures each time. */
const CHECK_INTERVAL_MS = 10;
const MAX_FAILURES_PER_CHECK = 4;
/** Services whose requests wait. */
const MAX_SERVICES = 256;

interface WaitingRequest {
  readonly requestId: string;
  readonly sinceMs: number;
  readonly endMs: number;
  /** Returns the endpoint that may take the request now, if there is one. */
  readonly place: () => ChosenEndpoint | undefined;
  readonly finish: (chosen: ChosenEndpoint | undefined) => void;
}

/** A wait; `cancel` ends it at once. */
export interface BrittleWait {
  readonly ended: Promise<ChosenEndpoint | undefined>;
  readonly cancel: () => void;
}

/** Requests that wait for a moment because all endpoints that could take them are brittle. */
export class BrittleWaits {
  private readonly services = BoundedMap.create<string, Set<WaitingRequest>>(MAX_SERVICES);

  private timer: NodeJS.Timeout | undefined;

  static create(): BrittleWaits {
    return new BrittleWaits();
  }

  /**
   * Waits until a request can be placed, in the order of arrival.
   *
   * @param remainingMs time that the request has left; half of it may be waited
   * @returns undefined if too many requests wait already
   * @example
   * const wait = brittleWaits.wait(context, 'llm', requestId, remainingMs, place);
   * const chosen = await wait?.ended;
   */
  wait(
    context: GatewayContext,
    service: string,
    requestId: string,
    remainingMs: number,
    place: () => ChosenEndpoint | undefined,
  ): BrittleWait | undefined {
    const waiting = this.services.get(service) ?? new Set<WaitingRequest>();
    this.services.set(service, waiting);
    if (waiting.size >= MAX_WAITING) {
      context.metrics.recordBrittleWait(service, 'full');
      return undefined;
    }
    const nowMs = context.clock.nowMs();
    let resolveEnded: (chosen: ChosenEndpoint | undefined) => void = () => undefined;
    const ended = new Promise<ChosenEndpoint | undefined>((resolve) => {
      resolveEnded = resolve;
    });
    const request: WaitingRequest = {
      requestId,
      sinceMs: nowMs,
      endMs: nowMs + Math.min(MAX_BRITTLE_WAIT_MS, remainingMs / 2),
      place,
      finish: (chosen) => {
        if (!waiting.delete(request)) return;
        const result = chosen === undefined ? 'expired' : 'placed';
        context.metrics.recordBrittleWait(service, result);
        logBrittleWaitEnded(context, service, requestId, nowMs, chosen);
        resolveEnded(chosen);
      },
    };
    waiting.add(request);
    this.timer ??= setInterval(() => this.check(context), CHECK_INTERVAL_MS);
    return { ended, cancel: () => request.finish(undefined) };
  }

  private check(context: GatewayContext): void {
    let waitingCount = 0;
    for (const [, waiting] of this.services) {
      BrittleWaits.placeWaiting(waiting, context.clock.nowMs());
      waitingCount += waiting.size;
    }
    if (waitingCount > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private static placeWaiting(waiting: ReadonlySet<WaitingRequest>, nowMs: number): void {
    let failures = 0;
    for (const request of waiting) {
      const chosen = failures < MAX_FAILURES_PER_CHECK ? request.place() : undefined;
      if (chosen === undefined) failures += 1;
      if (chosen !== undefined || nowMs >= request.endMs) request.finish(chosen);
    }
  }
}
