import type { Clock } from '@lovagearch/common';
import type { EndpointTable } from '@lovagearch/endpoints';
import type { StoreClock } from '@lovagearch/mirror';
import type { TrafficRules } from '@lovagearch/traffic';
import type { GatewayLog } from './gatewayLog.js';

export interface EvacuatedZonesDependencies {
  readonly endpoints: EndpointTable;
  readonly getTrafficRules: () => TrafficRules | undefined;
  readonly clock: Clock;
  readonly storeClock: StoreClock;
  readonly log: GatewayLog;
}

/** A change of a row of the operator's table that evacuates a zone. */
export interface EvacuationRow {
  readonly zone: string;
  /** Whether the row exists. */
  readonly isEvacuated: boolean;
  readonly version: number;
  /** Reading of the store's clock after which the change was committed, if known. */
  readonly committedAfterMs: number | undefined;
}

/** Zones whose endpoints may get no requests because the operator has evacuated them. */
export class EvacuatedZones {
  private readonly zones = new Set<string>();

  private constructor(private readonly dependencies: EvacuatedZonesDependencies) {}

  static create(dependencies: EvacuatedZonesDependencies): EvacuatedZones {
    return new EvacuatedZones(dependencies);
  }

  get size(): number {
    return this.zones.size;
  }

  has(zone: string): boolean {
    return this.zones.has(zone);
  }

  /** Applies a row; the endpoints of a restored zone count as cold, so that their load returns gradually. */
  applyRow({ zone, isEvacuated, version, committedAfterMs }: EvacuationRow): void {
    if (isEvacuated === this.zones.has(zone)) return;
    if (isEvacuated) this.zones.add(zone);
    else this.zones.delete(zone);
    const { clock, endpoints, getTrafficRules, log, storeClock } = this.dependencies;
    let count = 0;
    for (const { record, statements } of endpoints.listAll()) {
      if (record.zone !== zone) continue;
      count += 1;
      const coldStart = getTrafficRules()?.findService(record.service)?.coldStart;
      if (isEvacuated || coldStart === undefined) continue;
      const { coldness } = statements;
      coldness.recordZoneRestored(record.heartbeat, coldStart.durationMs, clock.nowMs());
    }
    const storeMs = storeClock.nowMs();
    log.logStateChange(isEvacuated ? 'zone_evacuated' : 'zone_restored', {
      zone,
      rowVersion: version,
      endpoints: count,
      // The row is at most that old; the first read after a start does not show its age.
      maxAgeMs:
        storeMs === undefined || committedAfterMs === undefined
          ? undefined
          : Math.round(storeMs - committedAfterMs),
    });
  }
}
