import {
  MAX_ROW_AGE_MS,
  MAX_ENDPOINTS,
  MAX_SOURCES,
  MAX_OBSERVERS_PER_ENDPOINT,
} from './constants.js';
import type { LoadRow, LoadSection } from './loadRows.js';

/** One source's row of an endpoint, with its age at the time of the query. */
export interface ObservedRow extends LoadRow {
  /** Hash of the source's node id; negative for `mark` sections. */
  readonly source: number;
  readonly ageMs: number;
}

interface StoredRow {
  readonly row: LoadRow;
  /** When the source observed the row, on this process's clock. */
  readonly seenMs: number;
  /**
   * Whether the source reports the endpoint in each cycle; only such rows are renewed by
   * confirmations.
   */
  readonly isPeriodic: boolean;
}

interface SourceState {
  readonly seq: number;
  readonly seenMs: number;
  /** Whether every section since the last full one was received. */
  readonly isComplete: boolean;
}

const SEQ_MODULUS = 256;

/**
 * Returns a separate key for `mark` rows, which must not replace the source's rows as a watcher.
 */
const getDataPathKey = (source: number): number => -1 - source;

/**
 * The load rows that a node has received from all sources. Two sources report each endpoint. The
 * most recent row has its load; `computeEndpointState` decides on a state that only one reports.
 */
export class LoadTable {
  private readonly rows = new Map<number, Map<number, StoredRow>>();

  private readonly sources = new Map<number, SourceState>();

  /** Value of `changeCount` at the last change of each endpoint. */
  private readonly revisions = new Map<number, number>();

  private changeCount = 0;

  static create(): LoadTable {
    return new LoadTable();
  }

  get endpointCount(): number {
    return this.rows.size;
  }

  /**
   * Applies a section.
   *
   * @returns false if it was not applied: a duplicate, out of date or beyond a limit of the table
   */
  applySection(section: LoadSection, nowMs: number): boolean {
    const seenMs = nowMs - section.ageMs;
    if (section.type === 'urgent' || section.type === 'mark') {
      const key = section.type === 'mark' ? getDataPathKey(section.source) : section.source;
      return section.rows.filter((row) => this.setRow(key, row, seenMs, false)).length > 0;
    }
    const known = this.sources.get(section.source);
    const isExpired = known === undefined || nowMs - known.seenMs > MAX_ROW_AGE_MS;
    const seqAdvance = isExpired ? 1 : (section.seq - known.seq + SEQ_MODULUS) % SEQ_MODULUS;
    // A restarted source begins a new sequence with a full section.
    const isRestarted = section.type === 'full' && seenMs > (known?.seenMs ?? 0);
    if (seqAdvance === 0 || (seqAdvance > SEQ_MODULUS / 2 && !isRestarted)) return false;
    if (known === undefined && this.sources.size >= MAX_SOURCES) return false;
    const isContinued = !isExpired && known.isComplete && seqAdvance === 1;
    const isComplete = section.type === 'full' || isContinued;
    this.sources.set(section.source, { seq: section.seq, seenMs, isComplete });
    if (section.type === 'full') this.removeUnreported(section);
    for (const row of section.rows) this.setRow(section.source, row, seenMs, true);
    return true;
  }

  /** Returns the unexpired rows of an endpoint, the most recent first. */
  getObservations(endpoint: number, nowMs: number): ObservedRow[] {
    const observations: ObservedRow[] = [];
    for (const [source, stored] of this.rows.get(endpoint) ?? []) {
      const ageMs = nowMs - this.getConfirmedMs(source, stored);
      if (ageMs <= MAX_ROW_AGE_MS) observations.push({ ...stored.row, source, ageMs });
    }
    return observations.sort((a, b) => a.ageMs - b.ageMs);
  }

  /**
   * Returns a number that changes whenever the rows of an endpoint change; confirmations don't
   * change it.
   */
  getRevision(endpoint: number): number {
    return this.revisions.get(endpoint) ?? 0;
  }

  /** Returns the most recent unexpired row from a watcher that reached the endpoint. */
  getNewestLiveRow(endpoint: number, nowMs: number): ObservedRow | undefined {
    let newest: StoredRow | undefined;
    let [newestSource, newestMs] = [0, -Infinity];
    for (const [source, stored] of this.rows.get(endpoint) ?? []) {
      const { state } = stored.row;
      if (source < 0 || state === 'unseen' || state === 'failed') continue;
      const seenMs = this.getConfirmedMs(source, stored);
      if (seenMs > newestMs) [newest, newestSource, newestMs] = [stored, source, seenMs];
    }
    const ageMs = nowMs - newestMs;
    if (newest === undefined || ageMs > MAX_ROW_AGE_MS) return undefined;
    return { ...newest.row, source: newestSource, ageMs };
  }

  /** Removes expired rows and sources. */
  removeExpired(nowMs: number): void {
    for (const [endpoint, bySource] of this.rows) {
      for (const [source, stored] of bySource) {
        if (nowMs - this.getConfirmedMs(source, stored) <= MAX_ROW_AGE_MS) continue;
        bySource.delete(source);
        this.recordChange(endpoint);
      }
      if (bySource.size > 0) continue;
      this.rows.delete(endpoint);
      this.revisions.delete(endpoint);
    }
    for (const [source, { seenMs }] of this.sources) {
      if (nowMs - seenMs > MAX_ROW_AGE_MS) this.sources.delete(source);
    }
  }

  /** Returns when the source observed or last confirmed a row. */
  private getConfirmedMs(source: number, stored: StoredRow): number {
    const state = this.sources.get(source);
    const isConfirmed = stored.isPeriodic && state !== undefined && state.isComplete;
    return isConfirmed ? Math.max(stored.seenMs, state.seenMs) : stored.seenMs;
  }

  private recordChange(endpoint: number): void {
    this.changeCount += 1;
    this.revisions.set(endpoint, this.changeCount);
  }

  private setRow(source: number, row: LoadRow, seenMs: number, isPeriodic: boolean): boolean {
    let bySource = this.rows.get(row.endpoint);
    if (bySource === undefined) {
      if (this.rows.size >= MAX_ENDPOINTS) return false;
      bySource = new Map();
      this.rows.set(row.endpoint, bySource);
    }
    const known = bySource.get(source);
    if (known !== undefined && known.seenMs > seenMs) return false;
    if (known === undefined && bySource.size >= MAX_OBSERVERS_PER_ENDPOINT) return false;
    bySource.set(source, { row, seenMs, isPeriodic: isPeriodic || (known?.isPeriodic ?? false) });
    this.recordChange(row.endpoint);
    return true;
  }

  /**
   * Removes the source's rows of endpoints that its full section lacks: it no longer watches them.
   */
  private removeUnreported(section: LoadSection): void {
    const present = new Set(section.rows.map(({ endpoint }) => endpoint));
    for (const [endpoint, bySource] of this.rows) {
      if (bySource.get(section.source)?.isPeriodic === true && !present.has(endpoint)) {
        bySource.delete(section.source);
        this.recordChange(endpoint);
      }
    }
  }
}
