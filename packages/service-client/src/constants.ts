/** Connect timeout, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;
/** Timeout of one health check, in milliseconds. */
export const HEALTH_TIMEOUT_MS = 2_000;
/** Maximum size of a response, in bytes. */
export const MAX_RESPONSE_BYTES = 16_777_216;
/** Maximum pooled connections to one instance. */
export const MAX_CONNECTIONS_PER_INSTANCE = 256;
/** Maximum simultaneous connections that are opened for a single call each. */
export const MAX_FRESH_CONNECTIONS = 4_096;
