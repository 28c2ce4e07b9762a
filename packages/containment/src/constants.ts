/** Time for which a fingerprint is quarantined. */
export const QUARANTINE_MS = 300_000;
/** Time for which a suspect may run only on the endpoint that crashed. */
export const SUSPECT_MS = 300_000;
/** Crashes with distinct suspects after which the endpoint itself is considered faulty. */
export const MAX_DISTINCT_CRASHES = 3;
/** Reports of one crash reach a node within this time: a silent connection times out after 3 s. */
export const CRASH_CORRELATION_MS = 3_000;
/** Time after which a trial that another node reported is assumed to have ended. */
export const TRIAL_MAX_MS = 60_000;
/** Retry-After sent to the caller of a suspect while another suspect's trial is running. */
export const TRIAL_RETRY_AFTER_MS = 1_000;
/** Sliding window in which the crashes of an endpoint are counted. */
export const CRASH_WINDOW_MS = 600_000;
/** Time for which a faulty endpoint stays out of rotation. */
export const FAULTY_MS = 300_000;
/** Quarantined or suspect fingerprints in memory. */
export const MAX_FINGERPRINTS = 4_096;
/** Endpoints whose running requests or crashes are tracked. */
export const MAX_ENDPOINTS = 4_096;
/** Running requests tracked for one endpoint. */
export const MAX_RUNNING_PER_ENDPOINT = 1_024;
/** Maximum suspects of one crash; the most recently started requests are preferred. */
export const MAX_SUSPECTS_PER_CRASH = 64;
/** Entries in one message to other nodes. */
export const MAX_UPDATE_ENTRIES = 64;
/**
 * Number of endpoint crashes after which a request that had produced output is quarantined. Such a
 * request is an unlikely cause, since requests that crash an endpoint usually do so before their
 * first output. It has to be resumed elsewhere, or each failed VM would break all its streams.
 */
export const MAX_CRASHES_WITH_OUTPUT = 2;
