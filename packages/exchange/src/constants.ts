/** Connect timeout, in milliseconds; a round trip between regions takes 16 ms. */
export const CONNECT_TIMEOUT_MS = 800;
/**
 * Time after which an attempt to connect is reported as overdue, in milliseconds. A round trip between regions takes
 * 16 ms, and TCP repeats a lost opening packet only after 1,000 ms.
 */
export const OVERDUE_CONNECT_MS = 300;
/** Keep-alive timeout if the endpoint sends no `Keep-Alive` header, in milliseconds. */
export const DEFAULT_KEEP_ALIVE_MS = 6_000;
/** Upper bound on the keep-alive timeout that an endpoint sends, in milliseconds. */
export const MAX_KEEP_ALIVE_MS = 30_000;
/**
 * An idle connection is closed this long before the endpoint's keep-alive timeout, in milliseconds.
 * A request sent while the endpoint closes the connection may have run.
 */
export const KEEP_ALIVE_MARGIN_MS = 300;
/** Maximum size of the response headers, in bytes. */
export const MAX_RESPONSE_HEADER_BYTES = 32_768;
/** Maximum size of a server-sent event, in bytes; the largest that users describe have 330 bytes. */
export const MAX_EVENT_BYTES = 262_144;
/** Bytes of a response beside its body that are accepted in any case, read buffers included. */
export const MAX_FRAMING_BYTES = 1_048_576;
/** Further bytes of framing for each byte of the body; a chunk of one byte has five. */
export const MAX_FRAMING_BYTES_PER_BODY_BYTE = 8;
/**
 * Time within which a process that has ended can't accept connections again, in milliseconds.
 */
export const MIN_RESTART_MS = 500;
/**
 * Time in which the ends of all connections of a process arrive, one retransmission included, in milliseconds.
 */
export const SETTLE_MS = 300;
/** Time for which a connection that isn't read is waited for, in milliseconds. */
export const UNREAD_SETTLE_MS = 2 * SETTLE_MS;
/**
 * Time after the end of a connection in which the kernel closes the listener of a killed process, in milliseconds.
 */
export const LISTENER_CLOSE_MS = 15;
/** Time within which the ends of the connections of a killed process are read, in milliseconds. */
export const CLOSE_SPREAD_MS = 20;
/** Interval between two looks at the connections of an endpoint that may have ended, in milliseconds. */
export const EVIDENCE_INTERVAL_MS = 5;
/** Time after which a connection that no request has used is closed, in milliseconds. */
export const UNUSED_CONNECTION_MS = 2_000;
/** Streams in a row with ids that rise by one after which a service is taken to number its events so. */
export const MIN_SUCCESSIVE_STREAMS = 8;
/** Streams in a row that begin behind a gap after which a service is not taken to number its events so any more. */
export const MAX_GAPS_IN_A_ROW = 4;
/** Time within which ends of connections share a check, in milliseconds. */
export const SHARED_CHECK_MS = 1;
