/**
 * The steward process: model placement, weight swaps and role orders under a lease.
 */
export {};
