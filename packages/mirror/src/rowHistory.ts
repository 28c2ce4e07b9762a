import { BoundedMap, computeSha256Hex } from '@lovagearch/common';
import type { MirroredRow } from './types.js';

/** Maximum number of row changes that are remembered to recognize them after a restore of the store. */
const MAX_SEEN_CHANGES = 2_048;

/** A row with a version, as some copy saw it. */
interface SeenChange {
  readonly version: number;
  readonly valueDigest: string;
}

/** Rows of one transaction share a version. */
const getChangeKey = ({ key, version }: MirroredRow): string => `${version}/${key}`;

const computeValueDigest = ({ value }: MirroredRow): string =>
  value === undefined ? '' : computeSha256Hex(value);

/** Returns the era in which a row was written; 0 if it isn't known. */
export const getEra = ({ era }: MirroredRow): number => era ?? 0;

/** Whether a row is a later state than another one of the same key. */
export const isNewer = (row: MirroredRow, known: MirroredRow): boolean =>
  getEra(row) === getEra(known) ? row.version > known.version : getEra(row) > getEra(known);

/** The changes of a table that a copy has seen, over all eras of the store. */
export class RowHistory {
  private readonly seenChanges = BoundedMap.create<string, SeenChange>(MAX_SEEN_CHANGES);

  /** For each era that is known, the version up to which its rows were written in earlier ones. */
  private readonly restorePoints = new Map<number, number>();

  static create(): RowHistory {
    return new RowHistory();
  }

  recordSeen(row: MirroredRow): void {
    const change = { version: row.version, valueDigest: computeValueDigest(row) };
    this.seenChanges.set(getChangeKey(row), change);
  }

  /** Tells whether this row was seen with this version, or with another value then. */
  compareSeen(row: MirroredRow): 'different' | 'same' | 'unseen' {
    const seen = this.seenChanges.peek(getChangeKey(row));
    if (seen === undefined) return 'unseen';
    return seen.valueDigest === computeValueDigest(row) ? 'same' : 'different';
  }

  /** Forgets the changes that a restore has lost. */
  startEra(previousEra: number, era: number, restorePoint: number): void {
    for (let skipped = previousEra + 1; skipped <= era; skipped++)
      this.restorePoints.set(skipped, restorePoint);
    for (const [key, { version }] of [...this.seenChanges])
      if (version > restorePoint) this.seenChanges.delete(key);
  }

  /** Adds the era in which a row was written, as far as its version tells, to a row of the store. */
  addEra(row: MirroredRow, currentEra: number): MirroredRow {
    if (row.era !== undefined || currentEra === 0) return row;
    let era = currentEra;
    while (row.version <= (this.restorePoints.get(era) ?? Number.NEGATIVE_INFINITY)) era -= 1;
    return { ...row, era };
  }
}
