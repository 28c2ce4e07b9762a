/**
 * Leases with fencing tokens, stored in table rows. `Lease` chooses the next step from clock readings
 * and rows; `LeaseRunner` executes the steps with the given table and clock. Neither starts timers or
 * compares wall clocks.
 */
export * from './constants.js';
export * from './lease.js';
export * from './leaseRunner.js';
export * from './types.js';
