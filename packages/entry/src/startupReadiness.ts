import { MS_PER_SECOND, type Clock, type ServiceId } from '@lovagearch/common';
import type { EndpointView } from './types.js';

/** Time after which a starting node accepts requests in any case, in milliseconds. */
const MAX_STARTUP_WAIT_MS = 10 * MS_PER_SECOND;

/**
 * Tells whether a starting node knows enough endpoints to accept requests. Full load sections
 * arrive only every few seconds, and until then requests would be refused with `no_endpoint`
 * although endpoints are ready.
 */
export class StartupReadiness {
  private hasVmList = false;

  private isReady = false;

  private constructor(
    private readonly clock: Clock,
    private readonly listEndpoints: () => readonly EndpointView[],
    private readonly startMs: number,
  ) {}

  static create(clock: Clock, listEndpoints: () => readonly EndpointView[]): StartupReadiness {
    return new StartupReadiness(clock, listEndpoints, clock.nowMs());
  }

  /** Records that a VM list has been read. */
  recordVmList(): void {
    this.hasVmList = true;
  }

  /** Returns true once every service has had a usable endpoint, or after 10 s. Never reverts. */
  check(): boolean {
    if (this.isReady) return true;
    const isLate = this.clock.nowMs() - this.startMs >= MAX_STARTUP_WAIT_MS;
    this.isReady = isLate || (this.hasVmList && this.hasEndpointOfEachService());
    return this.isReady;
  }

  private hasEndpointOfEachService(): boolean {
    const missing = new Set<ServiceId>();
    const found = new Set<ServiceId>();
    for (const { kind, models, service, state } of this.listEndpoints()) {
      const isUsable = state === 'ready' && (kind === 'service' || models.length > 0);
      (isUsable ? found : missing).add(service);
    }
    return [...missing].every((service) => found.has(service));
  }
}
