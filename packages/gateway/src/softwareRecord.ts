import { createHash } from 'node:crypto';
import { type Clock, getRendezvousOwners } from '@lovagearch/common';
import type { EndpointRecord, EndpointTable } from '@lovagearch/endpoints';
import type { MirroredRow, StoreClock, TableMirror } from '@lovagearch/mirror';
import * as z from 'zod';
import { MAX_FAULT_REASON_LENGTH, STAND_IN_AGE_MS, STREAM_KEY_LENGTH } from './constants.js';
import type { GatewayLog } from './gatewayLog.js';
import { computeAgeMs } from './storeTime.js';
import type { RowCodec, SharedTable } from './types.js';

/** Key prefix of the rows with the software versions of each service. */
export const SOFTWARE_PREFIX = 'software/';

/** Rendezvous hashing key for the order in which nodes write a row. */
const WRITER_KEY = 'software/writers';

const useSchema = z.object({
  service: z.string(),
  version: z.string(),
  sinceStoreMs: z.number(),
});
const rowSchema = z.discriminatedUnion('type', [
  useSchema.extend({ type: z.literal('used') }),
  useSchema.extend({ type: z.literal('ended'), untilStoreMs: z.number() }),
]);
type SoftwareRow = z.infer<typeof rowSchema>;

const createRowKey = (service: string, version: string): string => {
  const hash = createHash('sha1').update(JSON.stringify([service, version]));
  return `${SOFTWARE_PREFIX}${hash.digest('base64url').slice(0, STREAM_KEY_LENGTH)}`;
};

export interface SoftwareRecordDependencies {
  readonly nodeName: string;
  readonly isFirstStart: boolean;
  readonly endpoints: EndpointTable;
  readonly endpointMirror: Pick<TableMirror, 'version'>;
  readonly sharedMirror: Pick<TableMirror, 'isUnconfirmed' | 'version'>;
  readonly shared: SharedTable;
  readonly rows: RowCodec;
  readonly clock: Clock;
  readonly storeClock: StoreClock;
  /** Lists the services whose streams callers may resume. */
  readonly listStreamServices: () => readonly string[];
  /** Lists this node and the peers that write for each other. */
  readonly listSharingNodes: () => readonly string[];
  /** Whether the table of endpoints may be taken for complete. */
  readonly areRegistrationsComplete: () => boolean;
  /** Whether this node knows the other nodes. */
  readonly isMembershipKnown: () => boolean;
  readonly onWriteError: (error: unknown) => void;
  readonly log: GatewayLog;
}

/**
 * The software versions of each service, from its first use to the leave of its last endpoint, in rows of the shared table.
 * Any node may write a row, and a later write corrects one that is outdated. A version without an end counts as in use, so that a process which starts after an outage of all nodes knows what
 * was in use before.
 *
 * @example
 * const record = SoftwareRecord.create(dependencies);
 * sharedMirror.addListener((row) => record.applyRow(row));
 * await record.publish();
 * const isKnown = record.findKnownSinceMs() <= clock.nowMs() - 30_000;
 */
export class SoftwareRecord {
  private readonly rowsByKey = new Map<string, SoftwareRow>();

  /** Clock readings at which this node noticed that a row has to be written. */
  private readonly noticedAtMs = new Map<string, number>();

  /** Clock readings of the last write of each row. */
  private readonly writtenAtMs = new Map<string, number>();

  private knownSinceMs: number | undefined;

  private isWriting = false;

  private constructor(private readonly dependencies: SoftwareRecordDependencies) {}

  static create(dependencies: SoftwareRecordDependencies): SoftwareRecord {
    return new SoftwareRecord(dependencies);
  }

  /**
   * Returns the clock reading since which no version that was in use can be missing; undefined before the tables were read.
   * Rows of earlier processes show that versions were recorded all the time.
   */
  findKnownSinceMs(): number | undefined {
    const { isFirstStart, endpointMirror, sharedMirror, clock } = this.dependencies;
    if (endpointMirror.version === 0 || sharedMirror.version === 0) return undefined;
    const isRecorded = isFirstStart || this.rowsByKey.size > 0;
    this.knownSinceMs ??= isRecorded ? Number.NEGATIVE_INFINITY : clock.nowMs();
    return this.knownSinceMs;
  }

  /** Applies a row of any node. */
  applyRow({ key, value }: MirroredRow): void {
    if (!key.startsWith(SOFTWARE_PREFIX)) return;
    if (value === undefined) {
      this.rowsByKey.delete(key);
      return;
    }
    const { rows, log } = this.dependencies;
    const row = rowSchema.safeParse(rows.decodeSharedValue(value));
    if (row.success) this.rowsByKey.set(key, row.data);
    else {
      const reason = row.error.message.slice(0, MAX_FAULT_REASON_LENGTH);
      log.logStateChange('row_rejected', { kind: 'software', key, reason });
    }
  }

  /** Tells the table of endpoints which versions were in use. */
  recordUses(): void {
    const { endpoints, clock, storeClock } = this.dependencies;
    const nowMs = clock.nowMs();
    for (const row of this.rowsByKey.values()) {
      const { service, version } = row;
      const firstUseMs = nowMs - computeAgeMs(storeClock, row.sinceStoreMs);
      const lastUseMs =
        row.type === 'used' ? nowMs : nowMs - computeAgeMs(storeClock, row.untilStoreMs);
      endpoints.recordFirstSoftwareUse(service, version, firstUseMs);
      endpoints.recordSoftwareUse(service, version, lastUseMs);
    }
  }

  /** Publishes the version of a registration, unless its row is there. */
  noticeRegistration({ service, softwareVersion }: EndpointRecord): void {
    if (this.isMissing(service, softwareVersion))
      this.publish().catch(this.dependencies.onWriteError);
  }

  /** Whether the row of a version in use is still to be written. */
  private isMissing(service: string, version: string): boolean {
    const { listStreamServices, sharedMirror } = this.dependencies;
    if (!listStreamServices().includes(service)) return false;
    const key = createRowKey(service, version);
    return this.rowsByKey.get(key)?.type !== 'used' || sharedMirror.isUnconfirmed(key);
  }

  /**
   * Records that this node sends a stream to an endpoint. The row is written before the first event arrives, so that it is
   * there even if all nodes are killed then.
   */
  async recordSend(service: string, version: string): Promise<void> {
    const storeMs = this.dependencies.storeClock.nowMs();
    if (storeMs === undefined || !this.isMissing(service, version)) return;
    await this.tryWrite(...this.createUsedRow(service, version, Math.round(storeMs)));
  }

  /** Writes the rows of versions that have come into use, and of those whose last endpoint has left. */
  async publish(): Promise<void> {
    const { clock, storeClock, isMembershipKnown } = this.dependencies;
    const storeMs = storeClock.nowMs();
    if (this.findKnownSinceMs() === undefined || storeMs === undefined) return;
    this.recordUses();
    if (this.isWriting || !isMembershipKnown()) return;
    const due = this.listChanges(Math.round(storeMs));
    const nowMs = clock.nowMs();
    for (const key of this.noticedAtMs.keys()) if (!due.has(key)) this.noticedAtMs.delete(key);
    for (const key of due.keys()) if (!this.noticedAtMs.has(key)) this.noticedAtMs.set(key, nowMs);
    if (due.size === 0) return;
    const delayMs = this.computeDelayMs();
    this.isWriting = true;
    try {
      for (const [key, row] of due)
        if (nowMs - (this.noticedAtMs.get(key) ?? nowMs) >= delayMs) await this.tryWrite(key, row);
    } finally {
      this.isWriting = false;
    }
  }

  /** Writes a row, unless it was written a moment ago and the copy of the table can't show it yet. */
  private async tryWrite(key: string, row: SoftwareRow): Promise<void> {
    const { shared, clock, log } = this.dependencies;
    const lastMs = this.writtenAtMs.get(key) ?? Number.NEGATIVE_INFINITY;
    if (clock.nowMs() - lastMs < STAND_IN_AGE_MS) return;
    this.writtenAtMs.set(key, clock.nowMs());
    const isWritten = await shared.write(key, row);
    log.logStateChange('software_recorded', { ...row, isWritten });
    if (isWritten) this.rowsByKey.set(key, row);
  }

  /** Lists the rows that differ from what is registered. */
  private listChanges(storeMs: number): Map<string, SoftwareRow> {
    const { endpoints, listStreamServices, areRegistrationsComplete } = this.dependencies;
    const changes = new Map<string, SoftwareRow>();
    const registered = new Set<string>();
    for (const service of listStreamServices()) {
      for (const version of endpoints.listRegisteredSoftware(service)) {
        const key = createRowKey(service, version);
        registered.add(key);
        if (!this.isMissing(service, version)) continue;
        changes.set(...this.createUsedRow(service, version, storeMs));
      }
    }
    if (!areRegistrationsComplete()) return changes;
    for (const [key, row] of this.rowsByKey) {
      const isGone =
        row.type === 'used' &&
        !registered.has(key) &&
        !endpoints.listRegisteredSoftware(row.service).has(row.version);
      if (isGone) changes.set(key, { ...row, type: 'ended', untilStoreMs: storeMs });
    }
    return changes;
  }

  private createUsedRow(
    service: string,
    version: string,
    storeMs: number,
  ): [key: string, row: SoftwareRow] {
    const key = createRowKey(service, version);
    const sinceStoreMs = this.rowsByKey.get(key)?.sinceStoreMs ?? storeMs;
    return [key, { type: 'used', service, version, sinceStoreMs }];
  }

  /** Returns how long this node leaves a row to the nodes before it, in milliseconds. */
  private computeDelayMs(): number {
    const { nodeName, listSharingNodes } = this.dependencies;
    const nodes = listSharingNodes();
    const rank = getRendezvousOwners(WRITER_KEY, nodes, nodes.length).indexOf(nodeName);
    return Math.max(0, rank) * STAND_IN_AGE_MS;
  }
}
