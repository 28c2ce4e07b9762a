/** Share of an even split of an account's limit above which a node reports its demand. */
export const REPORTABLE_DEMAND_SHARE = 0.5;
/** Minimum share of an account's limit on each node, as a fraction of an even split. */
export const MIN_EVEN_SHARE_RATIO = 0.25;
/** Minimum interval between two demand messages of a node. */
export const MIN_DEMAND_INTERVAL_MS = 500;
/** Minimum row capacity of a demand message; large regions send messages less often instead. */
export const MIN_DEMAND_ROWS = 4;
/** Interval of empty demand messages, which show that a node without reportable demand is alive. */
export const DEMAND_HEARTBEAT_MS = 4_000;
/** Age after which a node's demand is ignored: three message intervals of a 58-node region. */
export const DEMAND_MAX_AGE_MS = 20_000;
/** Maximum number of accounts in one demand message. */
export const MAX_DEMAND_ROWS = 64;
/** Demand traffic of a node; part of its 6 KB/s budget for control messages. */
export const DEMAND_BYTES_PER_SECOND = 1_500;
/** Encoded size of one demand row and of the message around the rows, for the byte rate above. */
export const DEMAND_ROW_BYTES = 32;
export const DEMAND_MESSAGE_OVERHEAD_BYTES = 32;
/** Maximum number of accounts whose demand, token buckets or queues a node keeps. */
export const MAX_ACCOUNTS = 1_024;
/** Maximum number of nodes whose demand is kept. */
export const MAX_DEMAND_NODES = 512;
/** Burst capacity of an account's token bucket, in seconds of its rate. */
export const BURST_SECONDS = 2;
/** Maximum number of queued requests on a node, over all classes. */
export const MAX_QUEUED = 4_096;
/** Maximum number of queued requests of one account in one class on a node. */
export const MAX_QUEUED_PER_ACCOUNT = 1_024;
/**
 * Deficit round robin quantum of an account. With 2,048 tokens, a large account ran a dozen short
 * requests in a row while small accounts waited 4 to 6 s.
 */
export const QUANTUM_TOKENS_PER_ROUND = 512;
/** Fixed cost of a request in addition to its prompt, so that short prompts are not free. */
export const REQUEST_OVERHEAD_TOKENS = 64;
/** One in this many dequeues tries the lower classes first, which prevents their starvation. */
export const LOWER_CLASS_TURN_INTERVAL = 10;
/** Retry budget that each request adds. */
export const RETRIES_PER_REQUEST = 0.1;
/** Minimum retry budget of an account, and of the whole system, that refills without requests. */
export const MIN_RETRIES = 3;
/** Time in which an empty retry budget refills to the minimum. */
export const RETRY_REFILL_MS = 10_000;
/** Maximum number of unused retries that a budget accumulates. */
export const MAX_ACCUMULATED_RETRIES = 100;
/** Minimum retry-after delay sent to callers. */
export const MIN_RETRY_AFTER_MS = 100;
/** Time constant of the exponential decay in rate estimates. */
export const RATE_TIME_CONSTANT_MS = 5_000;
