import type { MirroredRow } from './types.js';

/** What a copy knows of the store's history before a restore. */
export interface KnownHistory {
  /** Version up to which the copy is complete. */
  readonly copyVersion: number;
  /** Rows that were removed up to this version may be unknown to the copy. */
  readonly prunedVersion: number;
  /** Returns the last change of a row, a removal too; undefined if none is known. */
  readonly findRow: (key: string) => MirroredRow | undefined;
  /** Tells whether the copy has seen this row with this version, or another row or value with it. */
  readonly compareSeen: (row: MirroredRow) => 'different' | 'same' | 'unseen';
}

const isWrittenSince = (row: MirroredRow, history: KnownHistory): boolean => {
  // The copy knows nothing of later versions.
  if (row.version > history.copyVersion) return false;
  if (history.compareSeen(row) === 'different') return true;
  const known = history.findRow(row.key);
  if (known === undefined) return row.version > history.prunedVersion;
  return known.version < row.version;
};

/**
 * Estimates the version at which the copy was taken that the store was restored from. Versions are given out again after
 * a restore, so they don't tell by themselves which rows belong to the history before it and which were written since.
 *
 * @param rows all rows of a table as the store has them after the restore
 * @param storeVersion newest version of the store
 * @param history what this node knows from before the restore
 * @returns the version; that of the store if nothing shows that the history before the restore is longer
 * @example
 * const restorePoint = estimateRestorePoint(rows, 26, history);
 * const isWrittenSinceRestore = row.version > restorePoint;
 */
export const estimateRestorePoint = (
  rows: readonly MirroredRow[],
  storeVersion: number,
  history: KnownHistory,
): number => {
  let firstWritten = Infinity;
  let isHistoryLonger = storeVersion < history.copyVersion;
  for (const row of rows) {
    if (isWrittenSince(row, history)) firstWritten = Math.min(firstWritten, row.version);
    const known = history.findRow(row.key);
    if (known !== undefined && known.version > row.version) isHistoryLonger = true;
  }
  if (firstWritten === Infinity && !isHistoryLonger) return storeVersion;
  let restorePoint = 0;
  for (const row of rows) {
    if (row.version >= firstWritten || history.compareSeen(row) !== 'same') continue;
    restorePoint = Math.max(restorePoint, row.version);
  }
  return restorePoint;
};
