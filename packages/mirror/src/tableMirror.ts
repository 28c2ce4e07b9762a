import type { MirroredRow, RowBatch } from './types.js';

/** Removed rows kept for peers that ask for changes; older ones are served by a whole copy. */
const MAX_REMOVED_ROWS = 256;

export type RowListener = (row: MirroredRow) => void;

/**
 * The copy of one table. Rows only move forward: a batch that is older than what is known, from a
 * peer that lags, changes nothing.
 *
 * @example
 * const mirror = TableMirror.create('op');
 * mirror.addListener((row) => applyRow(row));
 */
export class TableMirror {
  private readonly rows = new Map<string, MirroredRow>();

  private readonly removed = new Map<string, MirroredRow>();

  /** Removals up to this version are forgotten. */
  private forgottenVersion = 0;

  private readonly listeners: RowListener[] = [];

  private knownVersion = 0;

  /** Clock reading as of which the copy is known to be complete. */
  private asOfMs = Number.NEGATIVE_INFINITY;

  private constructor(readonly table: string) {}

  static create(table: string): TableMirror {
    return new TableMirror(table);
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

  /** Returns the time since the copy was last known to be complete; infinite at first. */
  getAgeMs(nowMs: number): number {
    return nowMs - this.asOfMs;
  }

  /** Takes in rows; returns whether they were news or confirmed the copy. */
  applyBatch(batch: RowBatch, nowMs: number): boolean {
    if (batch.version < this.knownVersion) return false;
    if (!batch.isPartial) this.removeAbsent(batch);
    for (const row of batch.rows) this.applyRow(row);
    this.knownVersion = batch.version;
    this.asOfMs = Math.max(this.asOfMs, nowMs - batch.ageMs);
    return true;
  }

  /** Returns what a peer that knows a version lacks. */
  createBatch(afterVersion: number, nowMs: number): RowBatch {
    const isPartial = afterVersion > 0 && afterVersion >= this.forgottenVersion;
    const rows: MirroredRow[] = [];
    for (const row of this.rows.values()) {
      if (!isPartial || row.version > afterVersion) rows.push(row);
    }
    if (isPartial) {
      for (const row of this.removed.values()) if (row.version > afterVersion) rows.push(row);
    }
    return {
      rows,
      version: this.knownVersion,
      isPartial,
      ageMs: Math.max(0, this.getAgeMs(nowMs)),
    };
  }

  private applyRow(row: MirroredRow): void {
    const known = this.rows.get(row.key) ?? this.removed.get(row.key);
    if (known !== undefined && known.version >= row.version) return;
    if (row.value === undefined) {
      this.rows.delete(row.key);
      this.recordRemoved(row);
      if (known?.value === undefined) return;
    } else {
      this.removed.delete(row.key);
      this.rows.set(row.key, row);
    }
    for (const listener of this.listeners) listener(row);
  }

  private removeAbsent(batch: RowBatch): void {
    const present = new Set(batch.rows.map(({ key }) => key));
    for (const { key, version } of [...this.rows.values()]) {
      if (present.has(key) || version > batch.version) continue;
      this.applyRow({ key, version: batch.version, value: undefined });
    }
  }

  private recordRemoved(row: MirroredRow): void {
    this.removed.set(row.key, row);
    if (this.removed.size <= MAX_REMOVED_ROWS) return;
    const oldest = this.removed.values().next();
    if (oldest.done) return;
    this.removed.delete(oldest.value.key);
    this.forgottenVersion = Math.max(this.forgottenVersion, oldest.value.version);
  }
}
