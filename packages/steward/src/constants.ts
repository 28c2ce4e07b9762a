/** Delay between two reconciliations of the reported states with the desired ones. */
export const RECONCILE_INTERVAL_MS = 1_000;
/** Delay between two checks for lease steps (acquire, renew, watch) that are due. */
export const LEASE_CHECK_INTERVAL_MS = 500;
/** Mean delay between two reads of the configuration head; jitter varies it by up to a fifth. */
export const HEAD_POLL_INTERVAL_MS = 4_000;
export const HEAD_POLL_JITTER_FRACTION = 0.2;
/** Delay between two checks whether the VM list is due to be read. */
export const VM_LIST_CHECK_INTERVAL_MS = 4_000;
/**
 * Time after which an order that was sent can no longer arrive. The lease must remain valid for at
 * least this long before each order, and a new lease holder waits this long before its first order.
 */
export const ORDER_DELIVERY_TIMEOUT_MS = 3_000;
/** Fraction of a model's runners that must stay ready while the others load weights. */
export const MIN_READY_FRACTION = 0.7;
/** Maximum number of concurrent status requests to the runners of a service. */
export const MAX_CONCURRENT_STATUS_CALLS = 32;
