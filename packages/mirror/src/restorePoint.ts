import type { MirroredRow } from './types.js';

/** What a copy knows of the store's history before a restore. */
export interface KnownHistory {
  /** Version up to which the copy is complete. */
  readonly copyVersion: number;
  /** Changes up to this version may be unknown to the copy. */
  readonly firstVersion: number;
  /** Returns the last change of a row, a removal too; undefined if none is known. */
  readonly findRow: (key: string) => MirroredRow | undefined;
  /** Tells whether the copy has seen this row with this version, or another row or value with it. */
  readonly compareSeen: (row: MirroredRow) => 'different' | 'same' | 'unseen';
}

/** What the copy tells about a row that the store has after a restore. */
type RowOrigin =
  /** The copy has seen it before the restore. */
  | 'history'
  /** It may be older than the first read of the copy. */
  | 'unknown'
  /** The copy can't have missed it, unless it was replaced between two reads. */
  | 'probably_written'
  | 'written';

const classifyRow = (row: MirroredRow, history: KnownHistory): RowOrigin => {
  // The copy knows nothing of later versions.
  if (row.version > history.copyVersion) return 'unknown';
  const seen = history.compareSeen(row);
  if (seen === 'same') return 'history';
  if (seen === 'different') return 'written';
  const isAfterFirst = row.version > history.firstVersion;
  const known = history.findRow(row.key);
  if (known === undefined) return isAfterFirst ? 'written' : 'unknown';
  if (known.version < row.version) return 'written';
  return isAfterFirst ? 'probably_written' : 'unknown';
};

/** The version up to which a restored store has the history of before, and rows that may or may not belong to it. */
export interface RestorePoint {
  readonly version: number;
  /** Rows below the version that another node may know to be written since the restore. */
  readonly uncertainRows: readonly MirroredRow[];
}

/**
 * Estimates the version at which the copy was taken that the store was restored from. Versions are given out again after
 * a restore, so they don't tell by themselves which rows belong to the history before it and which were written since.
 *
 * @param rows all rows of a table as the store has them after the restore
 * @param storeVersion newest version of the store
 * @param history what this node knows from before the restore
 * @returns the version; that of the store if nothing shows that a row was written since
 * @example
 * const { version } = estimateRestorePoint(rows, 26, history);
 * const isWrittenSinceRestore = row.version > version;
 */
export const estimateRestorePoint = (
  rows: readonly MirroredRow[],
  storeVersion: number,
  history: KnownHistory,
): RestorePoint => {
  const listVersions = (origin: RowOrigin) =>
    rows.filter((row) => classifyRow(row, history) === origin).map(({ version }) => version);
  const firstWritten = Math.min(Infinity, ...listVersions('written'));
  // A row may have been written again with the same version and value.
  const lastHistoric = Math.max(
    0,
    ...listVersions('history').filter((version) => version < firstWritten),
  );
  const firstProbable = Math.min(
    Infinity,
    ...listVersions('probably_written').filter((version) => version > lastHistoric),
  );
  const version = Math.min(storeVersion, firstWritten - 1, firstProbable - 1);
  const uncertainRows = rows.filter((row) => {
    if (row.version <= lastHistoric || row.version > version) return false;
    const known = history.findRow(row.key);
    return known !== undefined && known.version > row.version && known.value !== row.value;
  });
  return { version, uncertainRows };
};
