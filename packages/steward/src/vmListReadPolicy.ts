import { MS_PER_SECOND } from '@lovagearch/common';

/** Size of one VM in the platform's VM list response (docs/CAPACITY.md). */
const VM_LIST_ENTRY_BYTES = 160;
/** Bandwidth that a steward without a lease may spend on reading the VM list. */
const MAX_READ_BYTES_PER_SECOND = 1_024;

/**
 * Returns whether a steward should read the VM list now. A lease holder needs to see new runners
 * soon; other stewards only need to know which services have runners, so that they can compete for
 * their leases.
 *
 * @param sinceReadMs time since the last read, Infinity before the first one
 */
export const shouldReadVmList = (
  vmCount: number,
  hasLease: boolean,
  sinceReadMs: number,
): boolean =>
  hasLease ||
  sinceReadMs >= (vmCount * VM_LIST_ENTRY_BYTES * MS_PER_SECOND) / MAX_READ_BYTES_PER_SECOND;
