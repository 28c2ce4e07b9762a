/** Interval between two comparisons of reported and desired states. */
export const CYCLE_INTERVAL_MS = 1_000;
/** Interval in which due lease steps are looked for. */
export const LEASE_CHECK_INTERVAL_MS = 500;
/** Mean time between two reads of the configuration head; it varies by a fifth. */
export const HEAD_INTERVAL_MS = 4_000;
export const HEAD_JITTER = 0.2;
/** Time between two reads of the VM list. */
export const VM_LIST_INTERVAL_MS = 4_000;
/**
 * Time after which an order can no longer arrive. The lease must hold for it before each order, and
 * a new holder waits it out before its first order.
 */
export const ORDER_TIME_LIMIT_MS = 3_000;
/** Share of the runners of a model that must stay ready while others load. */
export const MIN_READY_SHARE = 0.7;
/** Status calls that are open at the same time. */
export const MAX_CONCURRENT_STATUS_CALLS = 32;
