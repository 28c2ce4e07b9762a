import type { TableRow } from './types.js';

/** Outcome of a write whose response was lost, derived from reading the row back. */
export type WriteOutcome =
  | { readonly type: 'applied'; readonly version: number }
  | { readonly type: 'rejected'; readonly current: TableRow }
  | { readonly type: 'undecided' };

/**
 * Computes the outcome of a write from a row that was read after it. `undecided` means that the
 * write may still be in flight or that a later write may have overwritten it.
 *
 * @param ifVersion version condition of the write; undefined for an unconditional write
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
  // Another write created the only version that this one could have created, so it can't succeed.
  if (ifVersion !== undefined && row.version === ifVersion + 1) {
    return { type: 'rejected', current: row };
  }
  return { type: 'undecided' };
};
