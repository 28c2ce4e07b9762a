/** Time limit of one table call, in milliseconds. */
export const TABLE_TIMEOUT_MS = 2_000;
/** Table calls of one client at the same time; further calls fail at once with `unavailable`. */
export const MAX_CONCURRENT_TABLE_CALLS = 64;
/** Reads after a lost answer of a write, before its outcome counts as unknown. */
export const READ_BACK_TRIES = 3;
/** Pause between two reads after a lost answer, in milliseconds. */
export const READ_BACK_PAUSE_MS = 100;
/** Time limit of one object store call, in milliseconds. */
export const OBJECT_TIMEOUT_MS = 10_000;
/** Time limit of one read of the VM list, in milliseconds. */
export const VM_LIST_TIMEOUT_MS = 2_000;
/** Time limit for opening a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;
/** Connections to one service of the platform. */
export const MAX_CONNECTIONS = 64;
/** Largest answer that is read, in bytes. */
export const MAX_RESPONSE_BYTES = 67_108_864;
/** Rows of one page of a table listing. */
export const DEFAULT_LIST_LIMIT = 500;
