/**
 * Leases with fencing numbers on top of conditional table writes.
 */
export {};
