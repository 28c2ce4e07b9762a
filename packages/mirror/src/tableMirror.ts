import type { StoreClock } from './storeClock.js';
import type { MirroredRow, RowBatch, VersionGap } from './types.js';

/**
 * Maximum number of tombstones kept for peers that ask for changes; a peer that needs older ones gets a full
 * copy.
 */
const MAX_TOMBSTONES = 256;

/** Maximum number of gaps; beyond it, the versions up to the oldest count as incomplete. */
const MAX_GAPS = 8;

const isInGap = (version: number, { afterVersion, untilVersion }: VersionGap): boolean =>
  version > afterVersion && version < untilVersion;

/**
 * Called for each change of a row.
 *
 * @param committedAfterMs reading of the store's clock after which the store committed the change; undefined if
 * the copy had no earlier state, as in the first read after a start
 */
export type RowListener = (row: MirroredRow, committedAfterMs: number | undefined) => void;

export interface TableMirrorOptions {
  /** Called with a row that a listener could not handle. */
  readonly onRowFault?: (row: MirroredRow, error: unknown) => void;
  /** Kept in sync with the readings that batches carry. */
  readonly storeClock?: StoreClock;
}

/**
 * A local copy of one table. Row versions only increase: a batch that is older than the copy, for example
 * from a peer that lags, is ignored.
 *
 * @example
 * const mirror = TableMirror.create('op');
 * mirror.addListener((row) => applyRow(row));
 */
export class TableMirror {
  private readonly rows = new Map<string, MirroredRow>();

  private readonly tombstones = new Map<string, MirroredRow>();

  /** Tombstones up to this version may have been discarded. */
  private prunedVersion = 0;

  /**
   * One for each read of the whole table, which skips the changes since the version before: a row that was added and
   * removed meanwhile has no tombstone. Changes from a peer bring the gaps of the peer.
   */
  private readonly gaps: VersionGap[] = [];

  private readonly listeners: RowListener[] = [];

  private knownVersion = 0;

  /** Clock reading at which the copy was last known to be complete. */
  private completeAsOfMs = Number.NEGATIVE_INFINITY;

  /** Reading of the store's clock at which the copy was complete. */
  private asOfStoreMs: number | undefined;

  private constructor(
    readonly table: string,
    private readonly options: TableMirrorOptions,
  ) {}

  static create(table: string, options: TableMirrorOptions = {}): TableMirror {
    return new TableMirror(table, options);
  }

  get version(): number {
    return this.knownVersion;
  }

  addListener(listener: RowListener): void {
    this.listeners.push(listener);
  }

  getRow(key: string): MirroredRow | undefined {
    return this.rows.get(key);
  }

  listRows(): IterableIterator<MirroredRow> {
    return this.rows.values();
  }

  /** Returns the time since the copy was last known to be complete; infinite before the first batch. */
  getAgeMs(nowMs: number): number {
    return nowMs - this.completeAsOfMs;
  }

  /** Applies a batch; returns false if it is older than the copy, or lacks removals since its version, and was ignored. */
  applyBatch(batch: RowBatch, nowMs: number): boolean {
    const { asOfStoreMs } = batch;
    if (asOfStoreMs !== undefined)
      this.options.storeClock?.recordReading(asOfStoreMs + batch.ageMs);
    if (batch.version < this.knownVersion) return false;
    if (batch.isPartial) {
      const gaps = batch.gaps ?? [];
      // The copy may have advanced into a gap since it asked for the changes.
      if (gaps.some((gap) => isInGap(this.knownVersion, gap))) return false;
      for (const gap of gaps) this.recordGap(gap);
    } else {
      this.removeMissingRows(batch);
      this.recordGap({ afterVersion: this.knownVersion, untilVersion: batch.version });
    }
    for (const row of batch.rows) this.applyRow(row);
    this.knownVersion = batch.version;
    this.completeAsOfMs = Math.max(this.completeAsOfMs, nowMs - batch.ageMs);
    if (asOfStoreMs !== undefined)
      this.asOfStoreMs = Math.max(this.asOfStoreMs ?? asOfStoreMs, asOfStoreMs);
    return true;
  }

  /** Returns the changes after a version, or all rows if some removal since then is unknown. */
  createBatch(afterVersion: number, nowMs: number): RowBatch {
    const isPartial = this.hasAllRemovalsSince(afterVersion);
    const rows: MirroredRow[] = [];
    for (const row of this.rows.values()) {
      if (!isPartial || row.version > afterVersion) rows.push(row);
    }
    if (isPartial) {
      for (const row of this.tombstones.values()) if (row.version > afterVersion) rows.push(row);
    }
    return {
      rows,
      version: this.knownVersion,
      isPartial,
      ...(isPartial ? { gaps: this.listGapsSince(afterVersion) } : {}),
      ageMs: Math.max(0, this.getAgeMs(nowMs)),
      ...(this.asOfStoreMs === undefined ? {} : { asOfStoreMs: this.asOfStoreMs }),
    };
  }

  private applyRow(row: MirroredRow): void {
    const known = this.rows.get(row.key) ?? this.tombstones.get(row.key);
    if (known !== undefined && known.version >= row.version) return;
    if (row.value === undefined) {
      this.rows.delete(row.key);
      this.recordTombstone(row);
      if (known?.value === undefined) return;
    } else {
      this.tombstones.delete(row.key);
      this.rows.set(row.key, row);
    }
    const isCommittedSince = row.version > this.knownVersion;
    const committedAfterMs = isCommittedSince ? this.asOfStoreMs : undefined;
    for (const listener of this.listeners) this.callListener(listener, row, committedAfterMs);
  }

  /** Contains what a listener throws: other writers fill rows, and one row must not stop the following. */
  private callListener(
    listener: RowListener,
    row: MirroredRow,
    committedAfterMs: number | undefined,
  ): void {
    try {
      listener(row, committedAfterMs);
    } catch (error) {
      this.options.onRowFault?.(row, error);
    }
  }

  private removeMissingRows(batch: RowBatch): void {
    const presentKeys = new Set(batch.rows.map(({ key }) => key));
    for (const { key, version } of [...this.rows.values()]) {
      if (presentKeys.has(key) || version > batch.version) continue;
      this.applyRow({ key, version: batch.version, value: undefined });
    }
  }

  /** Whether a copy of this version needs only the changes since then. */
  private hasAllRemovalsSince(version: number): boolean {
    if (version === 0 || version < this.prunedVersion) return false;
    return !this.gaps.some((gap) => isInGap(version, gap));
  }

  private listGapsSince(version: number): VersionGap[] {
    return this.gaps.filter(({ untilVersion }) => untilVersion > version);
  }

  private recordGap(gap: VersionGap): void {
    if (gap.untilVersion <= this.knownVersion || gap.untilVersion - gap.afterVersion <= 1) return;
    this.gaps.push(gap);
    if (this.gaps.length <= MAX_GAPS) return;
    const oldest = this.gaps.shift();
    this.prunedVersion = Math.max(this.prunedVersion, oldest?.untilVersion ?? 0);
  }

  private recordTombstone(row: MirroredRow): void {
    this.tombstones.set(row.key, row);
    if (this.tombstones.size <= MAX_TOMBSTONES) return;
    const oldest = this.tombstones.values().next();
    if (oldest.done) return;
    this.tombstones.delete(oldest.value.key);
    this.prunedVersion = Math.max(this.prunedVersion, oldest.value.version);
  }
}
