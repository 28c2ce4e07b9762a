/**
 * Leases with fencing tokens on rows of the table. `Lease` decides from clock readings and rows;
 * `LeaseRunner` carries its decisions out with the table and clock that it is given. Neither starts
 * timers or compares wall clocks.
 */
export * from './constants.js';
export * from './lease.js';
export * from './leaseRunner.js';
export * from './types.js';
