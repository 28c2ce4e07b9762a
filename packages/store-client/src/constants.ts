/** Timeout of one request, in milliseconds. */
export const REQUEST_TIMEOUT_MS = 2_000;
/** Connect timeout, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;
/** Maximum connections to one store VM. */
export const MAX_CONNECTIONS_PER_STORE = 8;
/** Maximum size of a response, in bytes. */
export const MAX_RESPONSE_BYTES = 4_194_304;
/** Maximum segments in one page of a listing. */
export const LIST_PAGE_SIZE = 1_000;
