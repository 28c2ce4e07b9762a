/** Maximum length of an id, key or name sent by a caller, in characters. */
export const MAX_CALLER_ID_LENGTH = 128;
/** An endpoint whose state is older than this is queried directly before it gets new requests. */
export const MAX_VIEW_AGE_MS = 3_000;
/** Maximum number of generation attempts per request, including the first. */
export const MAX_GENERATION_ATTEMPTS = 4;
/** Times that a request may be replanned after a weight swap; each consumes a retry. */
export const MAX_SWAP_REPLANS = 2;
/** Delay before a request is replanned because no runner was ready. */
export const NO_RUNNER_REPLAN_DELAY_MS = 200;
/**
 * Times that a request may be replanned because no runner was ready: 2 s in total. During a weight
 * swap or a network partition, runners are often unavailable only briefly.
 */
export const MAX_NO_RUNNER_REPLANS = 10;
/** Reconnections to a stream after lost or silent connections, without a token in between. */
export const MAX_RESUME_ATTEMPTS = 3;
/**
 * Further reconnections to a stream that no other runner can continue, with exponential backoff:
 * 7.75 s in total, well within the 60 s for which an engine retains the output.
 */
export const MAX_DELAYED_RESUMES = 5;
/** Delay before the first of these reconnections; it doubles with each further one. */
export const FIRST_RESUME_DELAY_MS = 250;
/** Interval of SSE comments, by which callers and proxies detect a dead connection. */
export const SSE_HEARTBEAT_MS = 1_000;
/** A caller that does not read for this time while data is buffered is disconnected. */
export const CALLER_STALL_TIMEOUT_MS = 30_000;
/** Bytes buffered for a slow caller before reading from the engine stream is paused. */
export const CALLER_BUFFER_BYTES = 65_536;
/** Time that a stream continues in the engine after its caller disconnected, for a resume. */
export const RESUME_GRACE_MS = 10_000;
/** Maximum number of streams that wait for a resume; beyond it the oldest is cancelled. */
export const MAX_ABANDONED_STREAMS = 4_096;
/** Default value of `max_tokens`. */
export const DEFAULT_MAX_TOKENS = 1_024;
/** Maximum value of `max_tokens`; it bounds the memory used by a non-streamed response. */
export const MAX_TOKENS_LIMIT = 32_768;
/** Maximum bytes of generated text kept per request; a token has at most a few bytes. */
export const MAX_GENERATED_BYTES = 4 * 1_024 * 1_024;
/** Maximum number of messages in a chat request. */
export const MAX_CHAT_MESSAGES = 10_000;
/** Default queue deadlines by request class (design.md, section 4.11). */
export const DEFAULT_DEADLINE_MS = { interactive: 10_000, standard: 30_000, background: 120_000 };
/** Maximum value of `deadline_ms`: one hour. */
export const MAX_DEADLINE_MS = 3_600_000;
/** Timeout of calls to a plain service whose route sets none. */
export const DEFAULT_ROUTE_TIMEOUT_MS = 30_000;
/** Maximum number of attempts per call to a plain service, including the first. */
export const MAX_SERVICE_ATTEMPTS = 3;
/** Number of recent decisions, and of recent refusals, kept for the administration API. */
export const DECISION_LOG_CAPACITY = 4_096;
/** Hex digits of a segment id in decisions: 48 bits are enough to distinguish segments in tests. */
export const SEGMENT_TAG_HEX_DIGITS = 12;
/** `Retry-After` for refusals that a short wait may resolve. */
export const DEFAULT_RETRY_AFTER_MS = 1_000;
/** A draining node stops listening after this time without requests: two readiness checks. */
export const DRAIN_IDLE_MS = 2_000;
