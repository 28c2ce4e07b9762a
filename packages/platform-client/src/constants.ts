/** Timeout of one table request, in milliseconds. */
export const TABLE_TIMEOUT_MS = 2_000;
/** Concurrent table requests per client; further ones fail immediately with `unavailable`. */
export const MAX_CONCURRENT_TABLE_CALLS = 64;
/** Reads after the response to a write was lost, before its outcome is reported as unknown. */
export const READ_BACK_ATTEMPTS = 3;
/** Delay between two of these reads, in milliseconds. */
export const READ_BACK_DELAY_MS = 100;
/** Timeout of one object store request, in milliseconds. */
export const OBJECT_TIMEOUT_MS = 10_000;
/** Timeout of one VM list request, in milliseconds. */
export const VM_LIST_TIMEOUT_MS = 2_000;
/** Timeout for opening a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;
/** Connections per client and origin. */
export const MAX_CONNECTIONS_PER_ORIGIN = 64;
/** Largest response body accepted, in bytes. */
export const MAX_RESPONSE_BYTES = 67_108_864;
/** Default number of rows per page of a table listing. */
export const DEFAULT_LIST_LIMIT = 500;
