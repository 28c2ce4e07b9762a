import {
  MAX_ROW_AGE_MS,
  MAX_ENDPOINTS,
  MAX_SOURCES,
  MAX_OBSERVERS_PER_ENDPOINT,
} from './constants.js';
import type { LoadRow, LoadSection } from './loadRows.js';

/** One source's row of an endpoint with its present age. */
export interface ObservedRow extends LoadRow {
  /** Hash of the source's node id; negative for marks from the data path. */
  readonly source: number;
  readonly ageMs: number;
}

interface StoredRow {
  readonly row: LoadRow;
  /** Reading of this process's clock at which the source saw it. */
  readonly seenMs: number;
  /** Whether the source reports the endpoint in its cycles; confirmations only renew such rows. */
  readonly isPeriodic: boolean;
}

interface SourceState {
  readonly seq: number;
  readonly seenMs: number;
  /** Whether every section since the last full one has arrived. */
  readonly isComplete: boolean;
}

const SEQ_MODULUS = 256;

/** What a node met on the data path must not replace what it saw as a watcher. */
const getDataPathKey = (source: number): number => -1 - source;

/**
 * The rows of all sources as one node has received them. Two sources report each endpoint; the
 * younger row wins, while a state that one of them alone reports is left to endpoint health.
 */
export class LoadTable {
  private readonly rows = new Map<number, Map<number, StoredRow>>();

  private readonly sources = new Map<number, SourceState>();

  /** For each endpoint the count of changes at its last change. */
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
   * @returns false if it was received before or is older than what is known of its source
   */
  applySection(section: LoadSection, nowMs: number): boolean {
    const seenMs = nowMs - section.ageMs;
    if (section.type === 'urgent' || section.type === 'mark') {
      const key = section.type === 'mark' ? getDataPathKey(section.source) : section.source;
      return section.rows.filter((row) => this.setRow(key, row, seenMs, false)).length > 0;
    }
    const known = this.sources.get(section.source);
    const isForgotten = known === undefined || nowMs - known.seenMs > MAX_ROW_AGE_MS;
    const step = isForgotten ? 1 : (section.seq - known.seq + SEQ_MODULUS) % SEQ_MODULUS;
    // A source that restarted begins a new sequence with a full section.
    const isRestarted = section.type === 'full' && seenMs > (known?.seenMs ?? 0);
    if (step === 0 || (step > SEQ_MODULUS / 2 && !isRestarted)) return false;
    if (known === undefined && this.sources.size >= MAX_SOURCES) return false;
    const isContinued = !isForgotten && known.isComplete && step === 1;
    const isComplete = section.type === 'full' || isContinued;
    this.sources.set(section.source, { seq: section.seq, seenMs, isComplete });
    if (section.type === 'full') this.removeUnreported(section);
    for (const row of section.rows) this.setRow(section.source, row, seenMs, true);
    return true;
  }

  /** Returns the rows of an endpoint that are young enough to count, the youngest first. */
  getObservations(endpoint: number, nowMs: number): ObservedRow[] {
    const witnesses: ObservedRow[] = [];
    for (const [source, kept] of this.rows.get(endpoint) ?? []) {
      const ageMs = nowMs - this.getConfirmedMs(source, kept);
      if (ageMs <= MAX_ROW_AGE_MS) witnesses.push({ ...kept.row, source, ageMs });
    }
    return witnesses.sort((a, b) => a.ageMs - b.ageMs);
  }

  /** Returns a number that changes with each change of an endpoint's rows; their ages don't count. */
  getRevision(endpoint: number): number {
    return this.revisions.get(endpoint) ?? 0;
  }

  /** Returns the youngest row of a watcher that saw the endpoint, if it is young enough to count. */
  getNewestLiveRow(endpoint: number, nowMs: number): ObservedRow | undefined {
    let youngest: StoredRow | undefined;
    let [youngestSource, youngestMs] = [0, -Infinity];
    for (const [source, kept] of this.rows.get(endpoint) ?? []) {
      const { state } = kept.row;
      if (source < 0 || state === 'unseen' || state === 'failed') continue;
      const seenMs = this.getConfirmedMs(source, kept);
      if (seenMs > youngestMs) [youngest, youngestSource, youngestMs] = [kept, source, seenMs];
    }
    const ageMs = nowMs - youngestMs;
    if (youngest === undefined || ageMs > MAX_ROW_AGE_MS) return undefined;
    return { ...youngest.row, source: youngestSource, ageMs };
  }

  /** Forgets rows and sources that no longer count. */
  removeExpired(nowMs: number): void {
    for (const [endpoint, bySource] of this.rows) {
      for (const [source, kept] of bySource) {
        if (nowMs - this.getConfirmedMs(source, kept) <= MAX_ROW_AGE_MS) continue;
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

  private getConfirmedMs(source: number, kept: StoredRow): number {
    const state = this.sources.get(source);
    const isConfirmed = kept.isPeriodic && state !== undefined && state.isComplete;
    return isConfirmed ? Math.max(kept.seenMs, state.seenMs) : kept.seenMs;
  }

  private recordChange(endpoint: number): void {
    this.changeCount += 1;
    this.revisions.set(endpoint, this.changeCount);
  }

  private setRow(source: number, row: LoadRow, seenMs: number, isRegular: boolean): boolean {
    let bySource = this.rows.get(row.endpoint);
    if (bySource === undefined) {
      if (this.rows.size >= MAX_ENDPOINTS) return false;
      bySource = new Map();
      this.rows.set(row.endpoint, bySource);
    }
    const known = bySource.get(source);
    if (known !== undefined && known.seenMs > seenMs) return false;
    if (known === undefined && bySource.size >= MAX_OBSERVERS_PER_ENDPOINT) return false;
    bySource.set(source, { row, seenMs, isPeriodic: isRegular || (known?.isPeriodic ?? false) });
    this.recordChange(row.endpoint);
    return true;
  }

  /** A full section without an endpoint means that its source no longer watches it. */
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
