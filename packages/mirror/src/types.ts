/** A row of a store table; `value` is undefined if the row was removed. */
export interface MirroredRow {
  readonly key: string;
  /** Version of the store at the row's last change. */
  readonly version: number;
  readonly value: string | undefined;
  /**
   * Era of the store in which the row was written; 0 if that isn't known. Rows are compared by era, then by version. The
   * store doesn't name it; a copy of the table does.
   */
  readonly era?: number | undefined;
}

/**
 * Versions, both excluded, that a copy skipped by a read of the whole table. A copy of such a version may have rows that
 * were removed since without a tombstone in the copy that skipped it.
 */
export interface VersionGap {
  readonly afterVersion: number;
  readonly untilVersion: number;
}

/** Rows of a table at a version of the store. */
export interface RowBatch {
  readonly rows: readonly MirroredRow[];
  /** Version up to which the rows are complete. */
  readonly version: number;
  /** False if the batch holds all rows of the table, true if only those that changed. */
  readonly isPartial: boolean;
  /** Versions for which the changes are not complete, oldest first; undefined from the store, which skips none. */
  readonly gaps?: readonly VersionGap[] | undefined;
  /** Age of the data when the source sent it, in milliseconds; 0 from the store itself. */
  readonly ageMs: number;
  /** Reading of the store's clock as of which the rows are complete; undefined if the source has none. */
  readonly asOfStoreMs?: number | undefined;
  /** Era of the store that the versions belong to; undefined if the source names none. */
  readonly era?: number | undefined;
  /** Keys of rows that a restore of the store has lost, and that were not written again; from peers only. */
  readonly lostKeys?: readonly string[] | undefined;
}

export type ReadFailure =
  | {
      readonly type: 'history_lost';
      /** Era and newest version of the store, if its response names them. */
      readonly era?: number | undefined;
      readonly version?: number | undefined;
    }
  | { readonly type: 'unavailable'; readonly reason: string };

export type ReadResult =
  | { readonly type: 'rows'; readonly batch: RowBatch }
  | { readonly type: 'failure'; readonly failure: ReadFailure };

/** The store, from which a mirror reads a table. */
export interface TableSource {
  /** Reads all rows; each response may take up to `timeoutMs`. */
  readonly readAll: (table: string, timeoutMs: number) => Promise<ReadResult>;
  /** Long-polls up to `waitMs` for rows that changed after a version; fails `timeoutMs` after that. */
  readonly readChanges: (
    table: string,
    afterVersion: number,
    waitMs: number,
    timeoutMs: number,
  ) => Promise<ReadResult>;
}

/** Peers, from which a mirror reads a table while the store is unavailable. */
export interface PeerSource {
  /** Reads the rows that changed after a version of an era, or all rows for version 0, from any peer that responds. */
  readonly readChanges: (table: string, afterVersion: number, era: number) => Promise<ReadResult>;
}
