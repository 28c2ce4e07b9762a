/** Interval between rounds of node probes, in milliseconds. */
export const PROBE_INTERVAL_MS = 1_000;
/** Timeout of a direct probe, in milliseconds. */
export const PROBE_TIMEOUT_MS = 500;
/** Timeout of an indirect probe, in milliseconds. */
export const INDIRECT_PROBE_TIMEOUT_MS = 900;
/** With at most this many reachable members, every one is probed in every interval. */
export const MAX_MEMBERS_PROBED_PER_INTERVAL = 16;
/** Number of members that are asked to probe a target indirectly. */
export const INDIRECT_PROBER_COUNT = 2;
/**
 * A suspect member that has not refuted the suspicion by then is declared failed, in milliseconds.
 */
export const SUSPICION_TIMEOUT_MS = 3_000;
/** Retention of dead members, so that outdated gossip can't add them again, in milliseconds. */
export const DEAD_MEMBER_RETENTION_MS = 60_000;
/** One unreachable or dead member is probed every this many probe intervals. */
export const RECONNECT_PROBE_INTERVALS = 5;
/** Queued updates sent with one message. */
export const MAX_UPDATES_PER_MESSAGE = 8;
/** Randomly chosen member records sent with one message, to repair lost updates. */
export const RANDOM_RECORDS_PER_MESSAGE = 1;
/** Maximum number of members in the list; above the design size of 350. */
export const MAX_MEMBERS = 1_024;
/**
 * Limit of the elapsed time that one check adds, in milliseconds. Without it, a pause of this
 * process would look like members that stopped answering.
 */
export const MAX_ELAPSED_PER_CHECK_MS = 1_500;

/** Largest number of nodes in a region that uses the short grid cycle. */
export const MAX_NODES_SHORT_CYCLE = 16;
/** Grid cycle of small regions, in milliseconds. */
export const SHORT_CYCLE_MS = 500;
/** Grid cycle of larger regions, in milliseconds. */
export const LONG_CYCLE_MS = 2_000;
/** All rows are sent every this many cycles. */
export const FULL_REFRESH_CYCLES = 8;
/** Resolution of ages on the wire, in milliseconds. */
export const AGE_QUANTUM_MS = 50;
/** Age from which an endpoint is checked directly before it gets work, in milliseconds. */
export const STALE_AGE_MS = 3_000;
/** Rows older than this are ignored and removed, in milliseconds. */
export const MAX_ROW_AGE_MS = 12_000;
/** Resolution of queued prompt tokens on the wire. */
export const QUEUE_UNIT_TOKENS = 64;
/** Maximum number of rows in one message; above the 583 runners of a region at the design size. */
export const MAX_ROWS_PER_MESSAGE = 4_096;
/** Maximum number of endpoints in the load table; above the design size of 3,500. */
export const MAX_ENDPOINTS = 8_192;
/** Maximum number of sources in the load table. */
export const MAX_SOURCES = 2_048;
/** Maximum number of sources whose rows are stored for one endpoint. */
export const MAX_OBSERVERS_PER_ENDPOINT = 8;
/** Time for which a failed call counts as evidence of a dead endpoint, in milliseconds. */
export const DATA_PATH_FAILURE_TTL_MS = 5_000;
/** Time for which an endpoint's own notice that it is leaving is valid, in milliseconds. */
export const LEAVING_NOTICE_TTL_MS = 30_000;
/**
 * Time after which an unanswered trial request to a recovering endpoint permits another one, in
 * milliseconds.
 */
export const TRIAL_REQUEST_TIMEOUT_MS = 10_000;
/** Largest number of endpoints in a region for which other regions receive a row each. */
export const MAX_ENDPOINTS_IN_SUMMARY = 64;
/** Interval of region summaries that include endpoint rows, in milliseconds. */
export const DETAILED_SUMMARY_INTERVAL_MS = 2_000;
/** Interval of region summaries without endpoint rows, in milliseconds. */
export const SUMMARY_INTERVAL_MS = 4_000;
