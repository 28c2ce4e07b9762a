/** Largest frame, in bytes. */
export const MAX_FRAME_BYTES = 1_048_576;
/** Bytes that may wait for a peer; beyond it messages are dropped and requests fail. */
export const MAX_SEND_BUFFER_BYTES = 4_194_304;
/** Frames that may wait while a connection is being opened. */
export const MAX_WAITING_FRAMES = 1_024;
/** Requests that may wait for a reply on one connection, in each direction. */
export const MAX_OPEN_REQUESTS = 4_096;
/** Incoming connections that may be unauthenticated at the same time. */
export const MAX_UNAUTHENTICATED = 64;
/** Peers whose address is kept; above the design size of 350 nodes. */
export const MAX_PEERS = 1_024;
/** Time limit for connecting and authenticating, in milliseconds. */
export const HANDSHAKE_LIMIT_MS = 2_000;
/** Time after a failed connect during which no other is tried, in milliseconds. */
export const CONNECT_PAUSE_MS = 250;
/** Time without a received frame, while requests wait, after which a ping is sent. */
export const PING_AFTER_MS = 1_000;
/** Time without a received frame, while requests wait, after which a connection is closed. */
export const SILENCE_LIMIT_MS = 3_000;
/** Time without any message after which a connection is closed. */
export const IDLE_LIMIT_MS = 60_000;
/** Interval of the check of all connections, in milliseconds. */
export const CHECK_INTERVAL_MS = 250;
