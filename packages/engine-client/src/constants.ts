/** A stream without any byte for this time counts as dead; engines send a heartbeat each second. */
export const SILENCE_LIMIT_MS = 3_000;
/** Time limit of control calls (status, events, orders, cancel), in milliseconds. */
export const CONTROL_TIMEOUT_MS = 2_000;
/** Time limit of an export, which waits for the transfer to the store VM, in milliseconds. */
export const EXPORT_TIMEOUT_MS = 30_000;
/** Time limit for opening a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;
/** Longest line of a stream, in bytes. */
export const MAX_LINE_BYTES = 262_144;
/** Largest answer to a control call, in bytes. */
export const MAX_RESPONSE_BYTES = 4_194_304;
/** Streams that one client holds open at the same time. */
export const MAX_STREAMS = 4_096;
/** Connections to one runner for control calls. */
export const MAX_CONTROL_CONNECTIONS = 8;
/** Cache events of one page. */
export const CACHE_EVENT_LIMIT = 500;
