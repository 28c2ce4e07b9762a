import { MS_PER_SECOND } from '@lovagearch/common';

/** Bytes of one VM in the list, as the platform sends it (docs/CAPACITY.md). */
const VM_BYTES = 160;
/** Bytes a second that a steward without a lease spends on the VM list. */
const READ_BYTES_PER_SECOND = 1_024;

/**
 * Whether a steward should read the VM list now. A holder needs new runners soon; the others only
 * need to know for which services to challenge.
 *
 * @param sinceReadMs time since the last read; Infinity before the first
 */
export const isVmListDue = (vmCount: number, hasLease: boolean, sinceReadMs: number): boolean =>
  hasLease || sinceReadMs >= (vmCount * VM_BYTES * MS_PER_SECOND) / READ_BYTES_PER_SECOND;
