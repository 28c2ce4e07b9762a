import { estimateRestorePoint, type RestorePoint } from './restorePoint.js';
import { getEra, isNewer, RowHistory } from './rowHistory.js';
import type { StoreClock } from './storeClock.js';
import type { StoreEra } from './storeEra.js';
import type { MirroredRow, RowBatch, VersionGap } from './types.js';
import { UnconfirmedRows } from './unconfirmedRows.js';

/**
 * Maximum number of tombstones kept for peers that ask for changes; a peer that needs older ones gets a full
 * copy.
 */
const MAX_TOMBSTONES = 256;

/** Maximum number of gaps; beyond it, the versions up to the oldest count as incomplete. */
const MAX_GAPS = 8;

const isInGap = (version: number, { afterVersion, untilVersion }: VersionGap): boolean =>
  version > afterVersion && version < untilVersion;

const isSameChange = (row: MirroredRow, known: MirroredRow): boolean =>
  row.version === known.version && row.value === known.value;

/**
 * Called for each change of a row.
 *
 * @param committedAfterMs reading of the store's clock after which the store committed the change; undefined if
 * the copy had no earlier state, as in the first read after a start
 */
export type RowListener = (row: MirroredRow, committedAfterMs: number | undefined) => void;

/** A copy that went over to a later era of the store. */
export interface EraChange {
  readonly era: number;
  readonly previousEra: number;
  readonly version: number;
  readonly previousVersion: number;
  /** Version of the store's copy, as estimated. */
  readonly restorePoint: number;
  /** Number of rows that the store has lost and that stay in force for now. */
  readonly lostRows: number;
  /** Number of rows for which the store has an older state than the copy. */
  readonly outdatedRows: number;
}

export interface TableMirrorOptions {
  /** Called with a row that a listener could not handle. */
  readonly onRowFault?: (row: MirroredRow, error: unknown) => void;
  /** Kept in sync with the readings that batches carry. */
  readonly storeClock?: StoreClock;
  /** Told the eras that batches name. */
  readonly storeEra?: StoreEra;
  /** Time after a restore for which rows that the store has lost stay in force, in milliseconds; 0 by default. */
  readonly lostRowGraceMs?: number;
  readonly onEraChange?: (change: EraChange) => void;
  /** Called with the number of lost rows that were not written again in time. */
  readonly onLostRowsRemoved?: (count: number) => void;
  /** Age from which the copy counts as interrupted, in milliseconds; it never does by default. */
  readonly interruptionMs?: number;
}

/**
 * A local copy of one table. Versions only increase within an era of the store: a batch that is older than the copy, for
 * example from a peer that lags, is ignored.
 *
 * In a later era the store has lost some changes. What the copy knows stays in force until the store has a newer state: rows
 * of the store's copy don't replace later ones, and rows that it lacks are kept for a while, in which their writers write
 * them again.
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
  private gaps: VersionGap[] = [];

  private readonly listeners: RowListener[] = [];

  private knownVersion = 0;

  private currentEra = 0;

  /** Version of the first read; earlier removals are unknown. */
  private firstVersion = 0;

  private readonly history = RowHistory.create();

  private readonly unconfirmed: UnconfirmedRows;

  /** Clock reading at which the copy was last known to be complete. */
  private completeAsOfMs = Number.NEGATIVE_INFINITY;

  /** Clock reading since which the copy was not interrupted. */
  private uninterruptedSinceMs = Number.POSITIVE_INFINITY;

  /** Reading of the store's clock at which the copy was complete. */
  private asOfStoreMs: number | undefined;

  private constructor(
    readonly table: string,
    private readonly options: TableMirrorOptions,
  ) {
    this.unconfirmed = UnconfirmedRows.create(options.lostRowGraceMs ?? 0);
  }

  static create(table: string, options: TableMirrorOptions = {}): TableMirror {
    return new TableMirror(table, options);
  }

  get version(): number {
    return this.knownVersion;
  }

  /** Era of the store that the version belongs to; 0 if the store names none. */
  get era(): number {
    return this.currentEra;
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

  /** Whether a restore of the store has lost the state of a row that the copy has, and nobody has written it again. */
  isUnconfirmed(key: string): boolean {
    return this.unconfirmed.has(key);
  }

  /** Number of rows that a restore of the store has lost or set back, and that nobody has written again. */
  get unconfirmedCount(): number {
    return this.unconfirmed.lostCount + this.unconfirmed.outdatedCount;
  }

  /** Whether a peer may know more about what the store has lost than this copy. */
  get isUncertain(): boolean {
    return this.unconfirmed.isUncertain;
  }

  /** Returns the time since the copy was last known to be complete; infinite before the first batch. */
  getAgeMs(nowMs: number): number {
    return nowMs - this.completeAsOfMs;
  }

  /** Returns for how long the copy has been kept complete without an interruption, in milliseconds. */
  getUninterruptedMs(nowMs: number): number {
    if (this.isInterruptedUntil(nowMs)) return 0;
    return Math.max(0, nowMs - this.uninterruptedSinceMs);
  }

  /** Applies a batch; returns false if it is older than the copy, or lacks removals since its version, and was ignored. */
  applyBatch(batch: RowBatch, nowMs: number): boolean {
    const era = batch.era ?? this.currentEra;
    this.options.storeEra?.recordEra(era);
    if (era < this.currentEra) return false;
    const { asOfStoreMs } = batch;
    if (asOfStoreMs !== undefined)
      this.options.storeClock?.recordReading(asOfStoreMs + batch.ageMs);
    const isRestored = era > this.currentEra;
    if (isRestored) {
      if (batch.isPartial) return false;
      this.startEra(batch, era, nowMs);
    } else if (!this.applyInEra(batch)) return false;
    this.knownVersion = batch.version;
    const completeAsOfMs = nowMs - batch.ageMs;
    if (isRestored || this.isInterruptedUntil(completeAsOfMs))
      this.uninterruptedSinceMs = completeAsOfMs;
    this.completeAsOfMs = Math.max(this.completeAsOfMs, completeAsOfMs);
    if (asOfStoreMs !== undefined)
      this.asOfStoreMs = Math.max(this.asOfStoreMs ?? asOfStoreMs, asOfStoreMs);
    this.finishUnconfirmedRows();
    return true;
  }

  /**
   * Takes what a peer knows beyond this copy of what a restore of the store has lost. The copy's version stays as it is.
   */
  mergeCopy({ rows, era }: RowBatch): void {
    this.options.storeEra?.recordEra(era ?? 0);
    this.unconfirmed.recordPeerCopy();
    for (const row of rows) {
      if (row.era === undefined) continue;
      const known = this.findChange(row.key);
      if (known !== undefined && !isNewer(row, known)) continue;
      if (getEra(row) < this.currentEra) this.recordUnconfirmed(row, known);
      this.applyRow(row, undefined);
    }
  }

  /**
   * Returns the changes after a version, or all rows if some removal since then is unknown.
   *
   * @param era era of the version; all rows and removals are returned if it isn't that of the copy
   */
  createBatch(afterVersion: number, nowMs: number, era = this.currentEra): RowBatch {
    const isSameEra = era === this.currentEra;
    const isPartial = isSameEra && this.hasAllRemovalsSince(afterVersion);
    const isIncluded = (row: MirroredRow) =>
      !isPartial || (row.version > afterVersion && getEra(row) === this.currentEra);
    const rows: MirroredRow[] = [];
    for (const row of this.rows.values()) if (isIncluded(row)) rows.push(row);
    if (isPartial || !isSameEra) {
      for (const row of this.tombstones.values()) if (isIncluded(row)) rows.push(row);
    }
    return {
      rows,
      version: this.knownVersion,
      isPartial,
      era: this.currentEra,
      ...(isPartial ? { gaps: this.listGapsSince(afterVersion) } : {}),
      ...(isPartial || this.unconfirmed.lostCount === 0
        ? {}
        : { lostKeys: this.unconfirmed.listLostKeys() }),
      ageMs: Math.max(0, this.getAgeMs(nowMs)),
      ...(this.asOfStoreMs === undefined ? {} : { asOfStoreMs: this.asOfStoreMs }),
    };
  }

  private isInterruptedUntil(nowMs: number): boolean {
    return this.getAgeMs(nowMs) >= (this.options.interruptionMs ?? Number.POSITIVE_INFINITY);
  }

  private applyInEra(batch: RowBatch): boolean {
    if (batch.version < this.knownVersion) return false;
    if (batch.isPartial) {
      const gaps = batch.gaps ?? [];
      // The copy may have advanced into a gap since it asked for the changes.
      if (gaps.some((gap) => isInGap(this.knownVersion, gap))) return false;
      for (const gap of gaps) this.recordGap(gap);
    } else {
      if (this.knownVersion === 0) this.firstVersion = batch.version;
      this.removeMissingRows(batch);
      this.recordGap({ afterVersion: this.knownVersion, untilVersion: batch.version });
    }
    for (const row of batch.rows) {
      const isCommittedSince = row.version > this.knownVersion;
      this.applyRow(
        this.history.addEra(row, this.currentEra),
        isCommittedSince ? this.asOfStoreMs : undefined,
      );
    }
    return true;
  }

  /** Goes over to a later era with all rows that the store, or a peer that has gone over to it, has. */
  private startEra(batch: RowBatch, era: number, nowMs: number): void {
    const previousEra = this.currentEra;
    const previousVersion = this.knownVersion;
    const isFirst = previousVersion === 0;
    const { version: restorePoint, uncertainRows } = isFirst
      ? { version: batch.version, uncertainRows: [] }
      : this.estimateRestorePoint(batch);
    this.history.startEra(previousEra, era, restorePoint);
    this.unconfirmed.startEra(uncertainRows, nowMs);
    this.currentEra = era;
    const committedAfterMs = isFirst ? undefined : this.asOfStoreMs;
    const missingKeys = new Set(this.rows.keys());
    for (const storeRow of batch.rows) {
      const row = this.history.addEra(storeRow, era);
      const { key, value } = row;
      if (value !== undefined) missingKeys.delete(key);
      this.applyRow(row, getEra(row) === era ? committedAfterMs : undefined);
      this.history.recordSeen(row);
      const known = this.rows.get(key);
      if (value !== undefined && known !== undefined && known.value !== value)
        this.unconfirmed.addOutdated(key);
    }
    for (const key of [...missingKeys, ...(batch.lostKeys ?? [])])
      if (this.rows.has(key)) this.unconfirmed.addLost(key);
    this.gaps = [];
    this.prunedVersion = batch.version;
    this.firstVersion = batch.version;
    this.asOfStoreMs = batch.asOfStoreMs;
    if (isFirst) return;
    this.options.onEraChange?.({
      era,
      previousEra,
      version: batch.version,
      previousVersion,
      restorePoint,
      lostRows: this.unconfirmed.lostCount,
      outdatedRows: this.unconfirmed.outdatedCount,
    });
  }

  private estimateRestorePoint({ rows, version }: RowBatch): RestorePoint {
    return estimateRestorePoint(rows, version, {
      copyVersion: this.knownVersion,
      firstVersion: Math.max(this.prunedVersion, this.firstVersion),
      // Versions of rows that the store had lost before belong to an earlier era.
      findRow: (key) =>
        this.isUnconfirmed(key)
          ? { key, version: Number.POSITIVE_INFINITY, value: undefined }
          : this.findChange(key),
      compareSeen: (row) => this.history.compareSeen(row),
    });
  }

  private findChange(key: string): MirroredRow | undefined {
    return this.rows.get(key) ?? this.tombstones.get(key);
  }

  /** Records a row that a peer knows from before the restore, in place of what this copy has read from the store. */
  private recordUnconfirmed(row: MirroredRow, known: MirroredRow | undefined): void {
    if (known === undefined) {
      if (row.value !== undefined) this.unconfirmed.addLost(row.key);
    } else if (!isSameChange(row, known)) this.unconfirmed.addOutdated(row.key);
  }

  /** Lets the store decide on rows that nobody has written again in time. */
  private finishUnconfirmedRows(): void {
    const ended = this.unconfirmed.tryEnd(this.completeAsOfMs);
    if (ended === undefined) return;
    const era = this.currentEra;
    for (const row of ended.uncertainRows) this.applyRow({ ...row, era }, undefined);
    for (const key of ended.lostKeys)
      this.applyRow({ key, version: this.knownVersion, value: undefined, era }, undefined);
    if (ended.lostKeys.length > 0) this.options.onLostRowsRemoved?.(ended.lostKeys.length);
  }

  private applyRow(row: MirroredRow, committedAfterMs: number | undefined): void {
    const known = this.findChange(row.key);
    if (known !== undefined && !isNewer(row, known)) return;
    this.history.recordSeen(row);
    if (getEra(row) === this.currentEra) this.unconfirmed.recordWritten(row.key);
    if (row.value === undefined) {
      this.rows.delete(row.key);
      this.recordTombstone(row);
      if (known?.value === undefined) return;
    } else {
      this.tombstones.delete(row.key);
      this.rows.set(row.key, row);
      if (known !== undefined && isSameChange(row, known)) return;
    }
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
    const era = this.currentEra;
    for (const row of [...this.rows.values()]) {
      const { key } = row;
      if (presentKeys.has(key) || this.unconfirmed.hasLost(key)) continue;
      if (getEra(row) === era && row.version > batch.version) continue;
      this.applyRow(
        { key, version: batch.version, value: undefined, ...(era === 0 ? {} : { era }) },
        batch.version > this.knownVersion ? this.asOfStoreMs : undefined,
      );
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
    if (getEra(oldest.value) === this.currentEra)
      this.prunedVersion = Math.max(this.prunedVersion, oldest.value.version);
  }
}
