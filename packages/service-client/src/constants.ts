/** Time limit for opening a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;
/** Time limit of one health check, in milliseconds. */
export const HEALTH_TIMEOUT_MS = 2_000;
/** Largest answer that is read, in bytes. */
export const MAX_RESPONSE_BYTES = 16_777_216;
/** Kept connections to one instance. */
export const MAX_CONNECTIONS_PER_INSTANCE = 256;
/** Connections of single calls that are open at the same time. */
export const MAX_FRESH_CONNECTIONS = 4_096;
