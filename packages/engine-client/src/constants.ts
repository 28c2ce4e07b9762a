/** Time without a byte after which a stream is considered lost; engines send a heartbeat each second. */
export const STREAM_IDLE_TIMEOUT_MS = 3_000;
/** Timeout of control calls (status, cache events, orders, cancel), in milliseconds. */
export const CONTROL_TIMEOUT_MS = 2_000;
/** Timeout of an export, which includes the transfer to the store VM, in milliseconds. */
export const EXPORT_TIMEOUT_MS = 30_000;
/** Connect timeout, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;
/** Maximum length of a line of a stream, in bytes. */
export const MAX_LINE_BYTES = 262_144;
/** Maximum size of a response to a control call, in bytes. */
export const MAX_RESPONSE_BYTES = 4_194_304;
/** Maximum concurrent streams of one client. */
export const MAX_OPEN_STREAMS = 4_096;
/** Maximum pooled connections to one runner for control calls. */
export const MAX_CONTROL_CONNECTIONS_PER_RUNNER = 8;
/** Maximum cache events per page. */
export const CACHE_EVENT_PAGE_SIZE = 500;
