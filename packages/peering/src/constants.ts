/** Maximum frame size, in bytes. */
export const MAX_FRAME_BYTES = 1_048_576;
/** Bytes buffered per peer; above this limit, messages are dropped and requests fail. */
export const MAX_SEND_BUFFER_BYTES = 4_194_304;
/** Frames queued per peer while a connection is being opened. */
export const MAX_QUEUED_FRAMES = 1_024;
/** Pending requests on one connection, in each direction. */
export const MAX_PENDING_REQUESTS = 4_096;
/** Concurrent incoming connections that have not authenticated yet. */
export const MAX_UNAUTHENTICATED_CONNECTIONS = 64;
/** Maximum number of known peers. Clusters are designed for up to 350 nodes. */
export const MAX_PEERS = 1_024;
/** Timeout for connecting and for authenticating, in milliseconds. */
export const HANDSHAKE_TIMEOUT_MS = 2_000;
/** Delay after a failed connection attempt before the next one, in milliseconds. */
export const CONNECT_RETRY_DELAY_MS = 250;
/** Time without a received frame, while requests are pending, before a ping, in milliseconds. */
export const PING_AFTER_SILENCE_MS = 1_000;
/** Time without a received frame, while requests are pending, before closing, in milliseconds. */
export const SILENCE_TIMEOUT_MS = 3_000;
/** Time without any message before a connection is closed, in milliseconds. */
export const IDLE_TIMEOUT_MS = 60_000;
/** Interval at which all connections are checked, in milliseconds. */
export const CONNECTION_CHECK_INTERVAL_MS = 250;
