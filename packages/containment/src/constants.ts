/** Time for which a fingerprint is quarantined. */
export const QUARANTINE_MS = 300_000;
/** Time for which a suspect may run only on the endpoint that crashed. */
export const SUSPECT_MS = 300_000;
/** Distinct sets of suspects after which an endpoint, not its requests, is held responsible. */
export const MAX_DISTINCT_CRASHES = 3;
/**
 * Reports of one crash reach a node within this time: 3 s until a silent connection is given up.
 */
export const CRASH_CORRELATION_MS = 3_000;
/** Time after which a trial that another node reported counts as over. */
export const TRIAL_MAX_MS = 60_000;
/** Advice to a suspect's caller while another suspect is tried. */
export const TRIAL_RETRY_AFTER_MS = 1_000;
/** Time in which the crashes of an endpoint are counted together. */
export const CRASH_WINDOW_MS = 600_000;
/** Time for which a faulty endpoint stays out of rotation. */
export const FAULTY_MS = 300_000;
/** Quarantined or suspect fingerprints in memory. */
export const MAX_FINGERPRINTS = 4_096;
/** Endpoints whose running requests or crashes are tracked. */
export const MAX_ENDPOINTS = 4_096;
/** Running requests tracked for one endpoint. */
export const MAX_RUNNING_PER_ENDPOINT = 1_024;
/** Suspects of one crash; of more running requests the newest are taken. */
export const MAX_SUSPECTS_PER_CRASH = 64;
/** Entries in one message to other nodes. */
export const MAX_UPDATE_ENTRIES = 64;
/**
 * Endpoints that may die under a request which was producing text before it is quarantined. Such
 * a request is an unlikely cause: a crashing request as a rule does so when it starts to run. It
 * must go on elsewhere, or each failed VM would cut off all its streams.
 */
export const MAX_CRASHES_WITH_OUTPUT = 2;
