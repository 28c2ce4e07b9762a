/** Largest id, key or name that a caller may send, in characters. */
export const MAX_CALLER_ID_LENGTH = 128;
/** A view of an endpoint older than this is checked by a direct call before new work is sent. */
export const MAX_VIEW_AGE_MS = 3_000;
/** Generation attempts for one request, the first included. */
export const MAX_GENERATE_ATTEMPTS = 4;
/** Times that a request chooses its weight version anew after a swap; each takes a retry. */
export const MAX_REPLANS = 2;
/** Pause before a request for which no runner was ready is planned again, in milliseconds. */
export const NO_RUNNER_PAUSE_MS = 200;
/**
 * Times that such a request is planned again: 2 s in all. During a weight swap, or while nodes are
 * parted, a runner is often not ready for a moment only.
 */
export const MAX_NO_RUNNER_PAUSES = 10;
/** New connections to one stream after a lost or silent one, without a token in between. */
export const MAX_RESUME_ATTEMPTS = 3;
/**
 * Further connections to a stream that no other runner can continue, each after twice the pause
 * before: 7.75 s in total, within the 60 s for which an engine keeps the output.
 */
export const MAX_LATE_RESUMES = 5;
/** Pause before the first of them. */
export const LATE_RESUME_PAUSE_MS = 250;
/** Interval of SSE comments, so that callers and proxies notice a dead connection. */
export const SSE_HEARTBEAT_MS = 1_000;
/** A caller that reads nothing for this time is disconnected. */
export const CALLER_STALL_LIMIT_MS = 30_000;
/** Bytes buffered for a caller that reads slowly, before the engine stream is no longer read. */
export const CALLER_BUFFER_BYTES = 65_536;
/** Time that a stream goes on in the engine after its caller has left, for a resume. */
export const RESUME_GRACE_MS = 10_000;
/** Streams whose callers have left and that wait for a resume; beyond it the oldest is cancelled. */
export const MAX_ABANDONED_STREAMS = 4_096;
/** Default of `max_tokens`. */
export const DEFAULT_MAX_TOKENS = 1_024;
/** Largest `max_tokens`; it bounds the memory of an answer that is collected whole. */
export const LIMIT_MAX_TOKENS = 32_768;
/** Bytes of generated text that one request may hold; one token has at most a few bytes. */
export const MAX_GENERATED_BYTES = 4 * 1_024 * 1_024;
/** Messages in one chat request. */
export const MAX_CHAT_MESSAGES = 10_000;
/** Default time limits of the queue by class, in milliseconds (design 4.11). */
export const DEFAULT_DEADLINE_MS = { interactive: 10_000, standard: 30_000, background: 120_000 };
/** Largest `deadline_ms` that a caller may set: one hour. */
export const LIMIT_DEADLINE_MS = 3_600_000;
/** Time limit of a call to a plain service whose route sets none. */
export const DEFAULT_ROUTE_TIMEOUT_MS = 30_000;
/** Attempts of one plain service call, the first included. */
export const MAX_SERVICE_ATTEMPTS = 3;
/** Recent decisions and refusals that are kept for the administration API. */
export const DECISION_LOG_ENTRIES = 4_096;
/** Hex digits of a segment's id in decisions: 48 bits, enough to tell the segments of a test apart. */
export const SEGMENT_TAG_DIGITS = 12;
/** Advice to callers after a refusal that a short wait may resolve. */
export const RETRY_AFTER_MS = 1_000;
/** Time without a request after which a draining node stops listening: two readiness checks. */
export const DRAIN_QUIET_MS = 2_000;
