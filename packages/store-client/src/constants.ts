/** Time limit of one call, in milliseconds. */
export const REQUEST_TIMEOUT_MS = 2_000;
/** Time limit for opening a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;
/** Connections to one store VM. */
export const MAX_CONNECTIONS_PER_STORE = 8;
/** Largest answer that is read, in bytes. */
export const MAX_RESPONSE_BYTES = 4_194_304;
/** Segments of one page of a listing. */
export const LIST_PAGE_SIZE = 1_000;
