/**
 * Duration of the lease after each confirmation, in milliseconds. It is short so that another node
 * can take over within the time limit for new weights.
 */
export const ORDER_LEASE_MS = 1_500;
/**
 * Maximum age of a confirmation when an order is sent, in milliseconds. It covers the write of the lease at a
 * slow store and the lead of the announcement, and ends before the lease.
 */
export const CONFIRMATION_MAX_AGE_MS = 1_400;
/** Fencing tokens of each era of the store; far more than orders can be given in one. */
export const FENCING_TOKENS_PER_ERA = 1_000_000;
/** Safety margin added to the receivers' minimum handover time, in milliseconds. */
export const TAKEOVER_MARGIN_MS = 300;
/** Maximum random delay before trying to acquire the lease, in milliseconds. */
export const LEASE_ACQUIRE_JITTER_MS = 400;
/** Interval at which orders are planned, in milliseconds. */
export const ROLLOUT_INTERVAL_MS = 150;
/**
 * Share of a service's endpoints that may be updated at once while there is enough time. Beyond it,
 * concurrent loads slow each other down (3 of 13, 2 of 6 and 28 of 98 endpoints according to the
 * users' data sheets).
 */
export const BASE_UNAVAILABLE_SHARE = 0.29;
/** The same when time is short. A larger share would leave too few endpoints for callers. */
export const MAX_UNAVAILABLE_SHARE = 0.6;
/** Time that an endpoint takes to finish its runs and load new weights, in milliseconds. */
export const ENDPOINT_UPDATE_MS = 2_500;
/**
 * Safety margin before the time limit at which all endpoints should be updated, in milliseconds.
 */
export const ROLLOUT_MARGIN_MS = 1_500;
/**
 * Time between the announcement of an order and the order, in milliseconds. Meanwhile nodes stop
 * sending requests to the endpoint, which would reject them during the update.
 */
export const ANNOUNCE_LEAD_MS = 600;
/** Interval at which an endpoint that is loading weights is polled, in milliseconds. */
export const REPORT_POLL_INTERVAL_MS = 250;
/** Time after which an order without effect is abandoned and planned again, in milliseconds. */
export const ORDER_TIMEOUT_MS = 5_000;
/** Delay after an endpoint did not respond or did not accept an order, in milliseconds. */
export const ORDER_RETRY_DELAY_MS = 400;
/** Time for which an announced order keeps requests away from an endpoint, in milliseconds. */
export const ANNOUNCEMENT_TTL_MS = 4_000;
/**
 * Minimum time between two direct reads of the lease's row, bypassing the mirror, in milliseconds.
 * Reads are billed.
 */
export const MIN_LEASE_READ_INTERVAL_MS = 1_500;
