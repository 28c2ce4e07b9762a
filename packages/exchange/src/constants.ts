/** Time to open a connection, in milliseconds; links between regions take 16 ms for a round trip. */
export const CONNECT_TIMEOUT_MS = 800;
/** Time after which an idle connection is closed if the endpoint names none, in milliseconds. */
export const DEFAULT_KEEP_ALIVE_MS = 6_000;
/** Longest time that an endpoint's own figure is followed, in milliseconds. */
export const MAX_KEEP_ALIVE_MS = 30_000;
/**
 * Time before the endpoint's own end of an idle connection at which it is no longer used, in
 * milliseconds; a request that crosses the close may have run.
 */
export const KEEP_ALIVE_MARGIN_MS = 300;
/** Idle time after which TCP probes a connection, in milliseconds. */
export const TCP_KEEP_ALIVE_DELAY_MS = 1_000;
/** Headers of one answer, in bytes. */
export const MAX_RESPONSE_HEADER_BYTES = 32_768;
/** Bytes of one event of a stream; the largest that the users describe have 330 bytes. */
export const MAX_EVENT_BYTES = 262_144;
