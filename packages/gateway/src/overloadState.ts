import { ReturnSchedule } from '@lovagearch/admission';
import { BoundedMap } from '@lovagearch/common';
import { MAX_OVERLOAD_SERVICES } from './constants.js';

/** What this node knows about the overload of one service. It is kept in memory only. */
export interface ServiceOverload {
  readonly returnSchedule: ReturnSchedule;
}

/**
 * State of admission by service; services that are not in use are dropped.
 *
 * @example
 * const { returnSchedule } = context.overloadState.getService('app');
 */
export class OverloadState {
  private readonly services = BoundedMap.create<string, ServiceOverload>(MAX_OVERLOAD_SERVICES);

  static create(): OverloadState {
    return new OverloadState();
  }

  getService(name: string): ServiceOverload {
    const known = this.services.get(name);
    if (known !== undefined) return known;
    const created: ServiceOverload = { returnSchedule: ReturnSchedule.create() };
    this.services.set(name, created);
    return created;
  }
}
