import type { Clock, Region, ServiceId } from '@lovagearch/common';
import {
  computeModelHash,
  computeZoneHash,
  STALE_AGE_MS,
  type LoadRow,
  type ZoneCapacity,
} from '@lovagearch/membership';
import { computeRecordState, findLiveRow, type EndpointRecord } from './endpointRecord.js';
import type { ClusterEndpointDirectory } from './clusterEndpointDirectory.js';

/** Sequences that a runner is assumed to run without queueing. Used only in the summary. */
const NOMINAL_SEQUENCES_PER_RUNNER = 8;
const MS_PER_SECOND = 1_000;

export interface RegionRows {
  readonly rows: readonly LoadRow[];
  /** Age of the oldest row. */
  readonly ageMs: number;
}

/** Summarizes the endpoints of this node's region for other regions. */
export class RegionSummary {
  private constructor(
    private readonly endpoints: ClusterEndpointDirectory,
    private readonly region: Region,
    private readonly clock: Clock,
    private readonly getPrefillRate: (service: ServiceId) => number,
  ) {}

  /** @param getPrefillRate returns the prefill rate of a runner, in prompt tokens per second */
  static create(
    endpoints: ClusterEndpointDirectory,
    region: Region,
    clock: Clock,
    getPrefillRate: (service: ServiceId) => number,
  ): RegionSummary {
    return new RegionSummary(endpoints, region, clock, getPrefillRate);
  }

  /** Returns one row per endpoint, with the state computed from all observations. */
  readonly listRows = (): RegionRows => {
    let oldestMs = 0;
    const rows: LoadRow[] = [];
    for (const record of this.listRecords()) {
      const { row, ageMs } = this.createRow(record);
      if (row === undefined || ageMs > STALE_AGE_MS) continue;
      rows.push(row);
      oldestMs = Math.max(oldestMs, ageMs);
    }
    return { rows, ageMs: oldestMs };
  };

  readonly countEndpoints = (): number => this.listRecords().length;

  /** Returns the capacity for each model version in each availability zone. */
  readonly listCapacities = (): readonly ZoneCapacity[] => {
    const capacities = new Map<string, ZoneCapacity>();
    for (const record of this.listRecords()) {
      const { row } = this.createRow(record);
      if (row?.state !== 'ready') continue;
      for (const { model, weightVersion } of record.details?.models ?? []) {
        const key = `${model}@${weightVersion}/${record.zone}`;
        const known = capacities.get(key);
        const queueMs =
          (row.queuedPromptTokens * MS_PER_SECOND) / this.getPrefillRate(record.service);
        const free = Math.max(0, NOMINAL_SEQUENCES_PER_RUNNER - row.activeSequences);
        capacities.set(key, {
          model: computeModelHash(model, weightVersion),
          zone: computeZoneHash(record.zone),
          readyRunners: (known?.readyRunners ?? 0) + 1,
          freeSequences: (known?.freeSequences ?? 0) + free,
          queueMs: Math.min(known?.queueMs ?? Infinity, queueMs),
        });
      }
    }
    return [...capacities.values()];
  };

  private listRecords(): EndpointRecord[] {
    return this.endpoints.listRecords().filter(({ region }) => region === this.region);
  }

  private createRow(record: EndpointRecord): { row: LoadRow | undefined; ageMs: number } {
    const observations = this.endpoints.getObservations(record);
    const state = computeRecordState(record, observations, this.clock.nowMs());
    const base = findLiveRow(observations) ?? observations[0];
    if (state === 'unknown' || base === undefined) return { row: undefined, ageMs: 0 };
    const { source, ageMs, ...row } = base;
    if (state === 'ready' || state === 'loading') return { row: { ...row, state }, ageMs };
    return { row: { ...row, state: state === 'dead' ? 'unseen' : 'leaving' }, ageMs: 0 };
  }
}
