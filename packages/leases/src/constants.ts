export const DEFAULT_LEASE_MS = 10_000;
export const DEFAULT_RENEWAL_INTERVAL_MS = 3_000;
/** Interval at which processes that don't hold a lease read its row. */
export const DEFAULT_WATCH_INTERVAL_MS = 5_000;
/** Maximum random delay of a takeover, which spreads the writes of competing processes. */
export const MAX_TAKEOVER_DELAY_MS = 2_000;
/** Delay before the next attempt after a failed table request. */
export const TABLE_RETRY_INTERVAL_MS = 1_000;
/**
 * Share of the lease duration that a holder leaves unused. It has to exceed the relative difference in
 * rate between the monotonic clocks of two machines.
 */
export const CLOCK_DRIFT_MARGIN = 0.02;
/** Maximum lease duration accepted from a row, so that a corrupt row can't block a lease for good. */
export const MAX_LEASE_MS = 600_000;
/** Maximum number of writes with unknown outcome that are kept to recognize them in the row later. */
export const MAX_PENDING_WRITES = 32;
