import { chooseItem, type EndpointId, type Random, type ServiceId } from '@lovagearch/common';
import { MAX_VIEW_AGE_MS } from './callerConstants.js';
import type { EndpointDirectory, EndpointView, NodeIdentity } from './types.js';

/**
 * Number of calls by which an instance in another zone or region must be less loaded to be chosen
 * over one in the zone of this node.
 */
const OTHER_ZONE_PENALTY_CALLS = 2;
const OTHER_REGION_PENALTY_CALLS = 16;

/** Selects instances of plain services and counts the calls that this node has in flight. */
export class ServiceInstanceSelector {
  /** Bounded by the number of calls in flight: an entry is removed when its count reaches zero. */
  private readonly callsInFlight = new Map<EndpointId, number>();

  private constructor(
    private readonly directory: EndpointDirectory,
    private readonly identity: NodeIdentity,
    private readonly random: Random,
  ) {}

  static create(
    directory: EndpointDirectory,
    identity: NodeIdentity,
    random: Random,
  ): ServiceInstanceSelector {
    return new ServiceInstanceSelector(directory, identity, random);
  }

  /**
   * Selects the least loaded ready instance, with a preference for the zone of this node. An
   * instance whose state was confirmed more than 3 s ago is checked before it is used.
   *
   * @param onlyOn the only endpoint that containment allows, if it restricts the call
   */
  async choose(
    service: ServiceId,
    excluded: ReadonlySet<EndpointId>,
    onlyOn: EndpointId | undefined,
  ): Promise<EndpointView | undefined> {
    const rejected = new Set(excluded);
    for (;;) {
      const chosen = this.chooseLeastLoaded(service, rejected, onlyOn);
      if (chosen === undefined || chosen.confirmedAgeMs <= MAX_VIEW_AGE_MS) return chosen;
      if (await this.directory.verifyReady(chosen.id)) return chosen;
      rejected.add(chosen.id);
    }
  }

  /** Counts a call as in flight until the returned function is called. */
  trackCall(id: EndpointId): () => void {
    this.callsInFlight.set(id, (this.callsInFlight.get(id) ?? 0) + 1);
    return () => {
      const remainingCalls = (this.callsInFlight.get(id) ?? 1) - 1;
      if (remainingCalls > 0) this.callsInFlight.set(id, remainingCalls);
      else this.callsInFlight.delete(id);
    };
  }

  private chooseLeastLoaded(
    service: ServiceId,
    rejected: ReadonlySet<EndpointId>,
    onlyOn: EndpointId | undefined,
  ): EndpointView | undefined {
    let bestCost = Infinity;
    let best: EndpointView[] = [];
    for (const view of this.directory.listEndpoints(service)) {
      if (view.kind !== 'service' || view.state !== 'ready' || rejected.has(view.id)) continue;
      if (onlyOn !== undefined && view.id !== onlyOn) continue;
      const cost = this.computeCost(view);
      if (cost > bestCost) continue;
      best = cost === bestCost ? [...best, view] : [view];
      bestCost = cost;
    }
    return chooseItem(best, this.random);
  }

  private computeCost({ id, load, region, zone }: EndpointView): number {
    const calls = Math.max(load.activeSequences, this.callsInFlight.get(id) ?? 0);
    if (region !== this.identity.region) return calls + OTHER_REGION_PENALTY_CALLS;
    return calls + (zone === this.identity.zone ? 0 : OTHER_ZONE_PENALTY_CALLS);
  }
}
