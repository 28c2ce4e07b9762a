import { BoundedMap, MS_PER_SECOND } from '@lovagearch/common';
import type { ServiceBrittleness } from '@lovagearch/endpoints';

/** Services whose brittleness is kept; deployments have a few dozen. */
const MAX_BRITTLE_SERVICES = 256;
/** Time in which a request loses its weight in the demand, in milliseconds. */
const DEMAND_DECAY_MS = 2_000;

interface KnownService {
  statement: ServiceBrittleness;
  weight: number;
  weightAtMs: number;
}

/** Services of which an endpoint says that it is brittle, and how many requests this node has for them. */
export class BrittleServices {
  private readonly services = BoundedMap.create<string, KnownService>(MAX_BRITTLE_SERVICES);

  static create(): BrittleServices {
    return new BrittleServices();
  }

  recordNamed(service: string, rejectionsPerS: number, nowMs: number): void {
    const statement = { rejectionsPerS, atMs: nowMs };
    const known = this.services.peek(service);
    if (known === undefined)
      this.services.set(service, { statement, weight: 0, weightAtMs: nowMs });
    else known.statement = statement;
  }

  /** Records that an endpoint is no longer brittle. */
  recordLifted(service: string): void {
    this.services.delete(service);
  }

  findStatement(service: string): ServiceBrittleness | undefined {
    return this.services.peek(service)?.statement;
  }

  /** Counts a request for a service, if it is brittle. */
  recordRequest(service: string, nowMs: number): void {
    const known = this.services.peek(service);
    if (known === undefined) return;
    known.weight = 1 + known.weight * Math.exp((known.weightAtMs - nowMs) / DEMAND_DECAY_MS);
    known.weightAtMs = nowMs;
  }

  /** Estimates the requests per second that this node has for a brittle service. */
  estimateDemandPerS(service: string, nowMs: number): number {
    const known = this.services.peek(service);
    if (known === undefined) return 0;
    const weight = known.weight * Math.exp((known.weightAtMs - nowMs) / DEMAND_DECAY_MS);
    return (weight * MS_PER_SECOND) / DEMAND_DECAY_MS;
  }
}
