/** Share of a node's even part of the limit above which an account counts as pressed. */
export const REPORTABLE_DEMAND_SHARE = 0.5;
/** Least share of an account on a node, as a part of limit / nodes. */
export const MIN_EVEN_SHARE_RATIO = 0.25;
/** Shortest time between two demand messages of a node. */
export const MIN_DEMAND_INTERVAL_MS = 500;
/** Rows for which a demand message has room; large regions send less often instead. */
export const MIN_DEMAND_ROWS = 4;
/** Time after which a node without pressed accounts sends an empty message, to be heard. */
export const DEMAND_HEARTBEAT_MS = 4_000;
/** Age after which a node's demand no longer counts: three cycles of 58 nodes. */
export const DEMAND_MAX_AGE_MS = 20_000;
/** Accounts in one demand message. */
export const MAX_DEMAND_ROWS = 64;
/** Bytes that a node sends each second for demand; part of its 6 KB/s for control. */
export const DEMAND_BYTES_PER_SECOND = 1_500;
/** Bytes of one demand row and of the frame around the rows, for the bound above. */
export const DEMAND_ROW_BYTES = 32;
export const DEMAND_MESSAGE_OVERHEAD_BYTES = 32;
/** Accounts whose demand, buckets or queues a node keeps. */
export const MAX_ACCOUNTS = 1_024;
/** Nodes whose demand is kept. */
export const MAX_DEMAND_NODES = 512;
/** Seconds of an account's rate that its bucket holds. */
export const BURST_SECONDS = 2;
/** Requests in the queue of a node, all classes together. */
export const MAX_QUEUED = 4_096;
/** Requests in the queue of one account on a node. */
export const MAX_QUEUED_PER_ACCOUNT = 1_024;
/**
 * Tokens that an account may use in one round of the fair queue. A round of 2,048 let a large
 * account run a dozen short requests in a row, for which small accounts waited 4 to 6 s.
 */
export const QUANTUM_TOKENS_PER_ROUND = 512;
/** Cost of a request beside its prompt, so that short prompts are not free. */
export const REQUEST_OVERHEAD_TOKENS = 64;
/** Of this many releases one goes to a waiting lower class, which keeps it from starving. */
export const LOWER_CLASS_TURN_INTERVAL = 10;
/** Retries as a part of requests. */
export const RETRIES_PER_REQUEST = 0.1;
/** Retries that are always available to a quiet account, and to the system. */
export const MIN_RETRIES = 3;
/** Time over which the minimum of a retry budget fills again. */
export const RETRY_REFILL_MS = 10_000;
/** Retries that a budget saves at most. */
export const MAX_ACCUMULATED_RETRIES = 100;
/** Shortest advice to callers. */
export const MIN_RETRY_AFTER_MS = 100;
/** Time constant of rate estimates. */
export const RATE_TIME_CONSTANT_MS = 5_000;
