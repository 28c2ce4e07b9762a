import { FULL_REFRESH_CYCLES } from './constants.js';
import type { LoadRow, LoadSection } from './loadRows.js';

/** Smaller changes are not sent before the next full refresh. */
const MIN_QUEUE_CHANGE_TOKENS = 256;
const MIN_QUEUE_CHANGE_SHARE = 0.125;
const MIN_SEQUENCES_CHANGE = 2;
const MIN_CACHE_CHANGE = 0.06;
const SEQ_MODULUS = 256;

/** Whether a row differs enough from the last one sent to be sent again. */
export const isSignificantChange = (row: LoadRow, sent: LoadRow | undefined): boolean => {
  if (sent === undefined) return true;
  if (row.state !== sent.state || row.versionTag !== sent.versionTag) return true;
  const queueChange = Math.abs(row.queuedPromptTokens - sent.queuedPromptTokens);
  const minQueueChange = Math.max(
    MIN_QUEUE_CHANGE_TOKENS,
    MIN_QUEUE_CHANGE_SHARE * sent.queuedPromptTokens,
  );
  return (
    queueChange >= minQueueChange ||
    Math.abs(row.activeSequences - sent.activeSequences) >= MIN_SEQUENCES_CHANGE ||
    Math.abs(row.cacheUse - sent.cacheUse) >= MIN_CACHE_CHANGE
  );
};

/** Creates the load sections that a node sends about the endpoints it watches. */
export class LoadDigest {
  private lastSentRows = new Map<number, LoadRow>();

  private seq = 0;

  private cycleCount = 0;

  private constructor(private readonly source: number) {}

  /** @param source hash of this node's id */
  static create(source: number): LoadDigest {
    return new LoadDigest(source);
  }

  /** Makes the next section a full one. Needed when the set of receivers changes. */
  requestFullSection(): void {
    this.cycleCount = 0;
  }

  /**
   * Creates the section for one cycle.
   *
   * @param rows current rows of all endpoints that this node watches
   * @param ageMs age of the oldest of these rows
   */
  createSection(rows: readonly LoadRow[], ageMs: number): LoadSection {
    const present = new Set(rows.map(({ endpoint }) => endpoint));
    // Only a full section tells the receivers that an endpoint is no longer watched.
    const isRemoved = [...this.lastSentRows.keys()].some((endpoint) => !present.has(endpoint));
    const isFull = this.cycleCount % FULL_REFRESH_CYCLES === 0 || isRemoved;
    this.cycleCount++;
    this.seq = (this.seq + 1) % SEQ_MODULUS;
    const chosen = isFull
      ? rows
      : rows.filter((row) => isSignificantChange(row, this.lastSentRows.get(row.endpoint)));
    if (isFull) this.lastSentRows = new Map();
    for (const row of chosen) this.lastSentRows.set(row.endpoint, row);
    const type = isFull ? 'full' : 'delta';
    return { type, source: this.source, seq: this.seq, ageMs, rows: chosen };
  }

  /** Creates a section with one row that is sent immediately instead of in the next cycle. */
  createUrgentSection(type: 'urgent' | 'mark', row: LoadRow): LoadSection {
    return { type, source: this.source, seq: 0, ageMs: 0, rows: [row] };
  }
}
