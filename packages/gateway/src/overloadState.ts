import {
  DemandMeters,
  type HeldRequest,
  type HoldLimits,
  HoldQueue,
  RepeatedRefusals,
  ReturnSchedule,
} from '@lovagearch/admission';
import { BoundedMap } from '@lovagearch/common';
import { MAX_OVERLOAD_SERVICES } from './constants.js';
import type { ChosenEndpoint } from './placeRequest.js';

/** A request that waits at this node, with what continues it. */
export interface HeldCall extends HeldRequest {
  /** Returns the endpoint that has room for the request now, if there is one. */
  readonly findRoom: () => ChosenEndpoint | undefined;
  /** Continues the request, with an endpoint if it is sent. */
  readonly finish: (chosen: ChosenEndpoint | undefined) => void;
}

/** What this node knows about the overload of one service. It is kept in memory only. */
export interface ServiceOverload {
  readonly demand: DemandMeters;
  readonly returnSchedule: ReturnSchedule;
  readonly repeatedRefusals: RepeatedRefusals;
  readonly heldCalls: HoldQueue<HeldCall>;
}

/**
 * State of admission by service; the least recently used services are dropped.
 *
 * @example
 * const { returnSchedule } = context.overloadState.getService('app');
 */
export class OverloadState {
  private readonly services = BoundedMap.create<string, ServiceOverload>(MAX_OVERLOAD_SERVICES);

  private constructor(private readonly holdLimits: HoldLimits) {}

  /** @param holdLimits limits on the requests of each service that wait at this node */
  static create(holdLimits: HoldLimits): OverloadState {
    return new OverloadState(holdLimits);
  }

  getService(name: string): ServiceOverload {
    const known = this.services.get(name);
    if (known !== undefined) return known;
    const created: ServiceOverload = {
      demand: DemandMeters.create(),
      returnSchedule: ReturnSchedule.create(),
      repeatedRefusals: RepeatedRefusals.create(),
      heldCalls: HoldQueue.create<HeldCall>(this.holdLimits),
    };
    this.services.set(name, created);
    return created;
  }

  /** Lists the services as they are now; `getService` changes their order, so that an iterator would not end. */
  listServices(): readonly (readonly [string, ServiceOverload])[] {
    return [...this.services];
  }
}
