import type { TableRow } from './types.js';

/** What a row that was read back tells about a write whose answer was lost. */
export type WriteOutcome =
  | { readonly type: 'applied'; readonly version: number }
  | { readonly type: 'rejected'; readonly current: TableRow }
  | { readonly type: 'undecided' };

/**
 * Computes the outcome of a write from a row that was read after it. `undecided` covers a write
 * that may still be on its way and one that may have been overwritten since.
 *
 * @param ifVersion the condition of the write; undefined if it had none
 * @example
 * computeWriteOutcome(row, 3, 'attempt-1');
 */
export const computeWriteOutcome = (
  row: TableRow | null,
  ifVersion: number | undefined,
  attemptId: string,
): WriteOutcome => {
  if (row === null) return { type: 'undecided' };
  if (row.attemptId === attemptId) return { type: 'applied', version: row.version };
  // Another write took the only version that this one could have had; it can't succeed any more.
  if (ifVersion !== undefined && row.version === ifVersion + 1) {
    return { type: 'rejected', current: row };
  }
  return { type: 'undecided' };
};
