/**
 * Time that one confirmation of the lease allows orders, in milliseconds. It is short so that another
 * node can take over within the bound on new weights.
 */
export const ORDER_LEASE_MS = 1_500;
/** Age of a confirmation from which it is renewed before another order, in milliseconds. */
export const CONFIRMATION_MAX_AGE_MS = 700;
/** Added to the receivers' own bound between two holders, in milliseconds. */
export const TAKEOVER_MARGIN_MS = 300;
/** Challengers of the lease spread their writes over this time, in milliseconds. */
export const LEASE_ACQUIRE_JITTER_MS = 400;
/** Time between two looks at what has to be ordered, in milliseconds. */
export const ROLLOUT_INTERVAL_MS = 150;
/**
 * Share of a service's endpoints that change at once while there is time: beyond it loads slow each
 * other down (3 of 13, 2 of 6, 28 of 98 on the users' sheets).
 */
export const BASE_UNAVAILABLE_SHARE = 0.29;
/** The same when time is short. More would leave too few endpoints for callers. */
export const MAX_UNAVAILABLE_SHARE = 0.6;
/** Time that an endpoint takes to finish its runs and to load, in milliseconds. */
export const ENDPOINT_UPDATE_MS = 2_500;
/** Time before the bound on new weights at which all endpoints should have them, in milliseconds. */
export const ROLLOUT_MARGIN_MS = 1_500;
/**
 * Time between the announcement of an order and the order, in milliseconds. Nodes stop sending requests
 * in it, which the endpoint would reject.
 */
export const ANNOUNCE_LEAD_MS = 600;
/** Time between two looks at an endpoint that is loading, in milliseconds. */
export const REPORT_POLL_INTERVAL_MS = 250;
/** Time after which an order without effect is given again, in milliseconds. */
export const ORDER_TIMEOUT_MS = 5_000;
/** Pause after an endpoint could not be asked, in milliseconds. */
export const ORDER_RETRY_DELAY_MS = 400;
/** Time that an announced order keeps requests away from an endpoint, in milliseconds. */
export const ANNOUNCEMENT_TTL_MS = 4_000;
/** Least time between two reads of the lease's row beside the mirror, in milliseconds; reads are billed. */
export const MIN_LEASE_READ_INTERVAL_MS = 1_500;
