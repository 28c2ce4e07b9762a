/** Connections of relayed requests to one peer; each carries one request at a time. */
export const MAX_RELAY_CONNECTIONS_PER_PEER = 128;
/** Time left below which a request isn't passed on to a peer, in milliseconds: a hop and a short call. */
export const MIN_REMAINING_TO_RELAY_MS = 30;
/** Retry delay stated to a node whose request this one has no room for, in milliseconds; peers are asked again sooner. */
export const FULL_RETRY_AFTER_MS = 1_000;
/** Time that the connection to a peer may take, in milliseconds; a round trip between regions takes 16 ms. */
export const MAX_RELAY_CONNECT_MS = 300;
