/** Interval of probes between nodes, in milliseconds. */
export const PROBE_INTERVAL_MS = 1_000;
/** Time limit of a direct probe, in milliseconds. */
export const PROBE_TIMEOUT_MS = 500;
/** Time limit of an indirect probe, in milliseconds. */
export const INDIRECT_PROBE_TIMEOUT_MS = 900;
/** Up to this number of other members, each is probed in every interval. */
export const MAX_MEMBERS_PROBED_PER_INTERVAL = 16;
/** Members asked for an indirect probe. */
export const INDIRECT_PROBER_COUNT = 2;
/** Time after which a suspicion that was not refuted becomes a verdict, in milliseconds. */
export const SUSPICION_TIMEOUT_MS = 3_000;
/** Time for which a dead member is remembered, so that old gossip can't bring it back. */
export const DEAD_MEMBER_RETENTION_MS = 60_000;
/** Every so many probe intervals one member without contact is probed as well. */
export const RECONNECT_PROBE_INTERVALS = 5;
/** Updates on one message. */
export const MAX_UPDATES_PER_MESSAGE = 8;
/** Records of random members on one message, which repair lost updates. */
export const RANDOM_RECORDS_PER_MESSAGE = 1;
/** Members that are kept; above the design size of 350. */
export const MAX_MEMBERS = 1_024;
/** Longest time between two checks that counts, so that a pause is not taken for silence. */
export const MAX_ELAPSED_PER_CHECK_MS = 1_500;

/** Up to this number of nodes in a region the short grid cycle is used. */
export const MAX_NODES_SHORT_CYCLE = 16;
/** Grid cycle of small regions, in milliseconds. */
export const SHORT_CYCLE_MS = 500;
/** Grid cycle of larger regions, in milliseconds. */
export const LONG_CYCLE_MS = 2_000;
/** Every so many cycles all rows are sent. */
export const FULL_REFRESH_CYCLES = 8;
/** Quantum of the age on the wire, in milliseconds. */
export const AGE_QUANTUM_MS = 50;
/** Age from which work needs a direct check of the endpoint, in milliseconds. */
export const STALE_AGE_MS = 3_000;
/** Age from which a row counts for nothing, in milliseconds. */
export const MAX_ROW_AGE_MS = 12_000;
/** Queued prompt tokens in one unit on the wire. */
export const QUEUE_UNIT_TOKENS = 64;
/** Rows that one message may carry; above the 583 runners of a region at the design size. */
export const MAX_ROWS_PER_MESSAGE = 4_096;
/** Endpoints whose rows are kept; above the design size of 3,500. */
export const MAX_ENDPOINTS = 8_192;
/** Sources of rows that are kept. */
export const MAX_SOURCES = 2_048;
/** Witnesses that are kept for one endpoint. */
export const MAX_OBSERVERS_PER_ENDPOINT = 8;
/** Time for which a failure on the data path counts as a witness, in milliseconds. */
export const DATA_PATH_FAILURE_TTL_MS = 5_000;
/** Time for which an endpoint's own word that it is leaving counts, in milliseconds. */
export const LEAVING_NOTICE_TTL_MS = 30_000;
/** Longest time for which a probe request to a returning endpoint holds its place. */
export const TRIAL_REQUEST_TIMEOUT_MS = 10_000;
/** Up to this number of endpoints in a region, other regions receive a row for each. */
export const MAX_ENDPOINTS_IN_SUMMARY = 64;
/** Interval of region summaries with rows, in milliseconds. */
export const DETAILED_SUMMARY_INTERVAL_MS = 2_000;
/** Interval of region summaries without rows, in milliseconds. */
export const SUMMARY_INTERVAL_MS = 4_000;
