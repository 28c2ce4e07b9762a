export const DEFAULT_LEASE_MS = 10_000;
export const DEFAULT_RENEWAL_INTERVAL_MS = 3_000;
/** Interval in which processes that don't hold a lease read its row. */
export const DEFAULT_WATCH_INTERVAL_MS = 5_000;
/** Challengers of a lease spread their writes over this time. */
export const MAX_TAKEOVER_DELAY_MS = 2_000;
/** Time between two tries after the table failed. */
export const TABLE_RETRY_INTERVAL_MS = 1_000;
/**
 * Part of the lease time that a holder doesn't use. The monotonic clocks of two machines may run at
 * speeds that differ by less than this share.
 */
export const CLOCK_DRIFT_MARGIN = 0.02;
/** Longest lease that a row may claim, so that a damaged row can't block a lease for good. */
export const MAX_LEASE_MS = 600_000;
/** Writes of this process without a known outcome that are kept to recognise them later. */
export const MAX_PENDING_WRITES = 32;
