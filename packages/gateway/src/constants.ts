/** Advice to callers while the process knows no configuration or no endpoint, in milliseconds. */
export const NOT_READY_RETRY_AFTER_MS = 1_000;
/** Advice to callers of a process that is shutting down; others take the next attempt. */
export const DRAINING_RETRY_AFTER_MS = 50;
/** Shortest and longest advice to callers of a service without room, in milliseconds. */
export const MIN_RETRY_AFTER_MS = 300;
export const MAX_RETRY_AFTER_MS = 4_000;
/** Time limit of a request that names none, in milliseconds. */
export const DEFAULT_TIME_LIMIT_MS = 30_000;
/** Time beyond a request's limit in which the endpoint's own timeout answer may arrive, in milliseconds. */
export const TIMEOUT_RESPONSE_GRACE_MS = 120;
/** Remaining time below which a request is no longer sent, in milliseconds. */
export const MIN_REMAINING_TO_SEND_MS = 10;
/** Share of the connections that endpoints grant which the nodes use together. */
export const CONNECTION_LIMIT_SHARE = 0.9;
/** Least number of connections to one endpoint that a node may open. */
export const MIN_CONNECTIONS_PER_ENDPOINT = 2;
/** Silence of an endpoint after which a repeatable request is sent elsewhere, in milliseconds. */
export const STREAM_STALL_TIMEOUT_MS = 1_200;
/** The same for plain calls, as a factor of the time that callers expect. */
export const CALL_STALL_FACTOR = 2.5;
/** Bytes of an answer that is held back until it is complete; longer ones are passed on. */
export const MAX_BUFFERED_RESPONSE_BYTES = 1_048_576;
/** Bytes waiting for a slow caller from which the endpoint is no longer read. */
export const MAX_UNSENT_BYTES = 131_072;
/** Share of the memory limit that bodies of waiting requests may take. */
export const BODY_MEMORY_SHARE = 0.15;
/** Weight versions older than the named one are avoided from this age of the name, in milliseconds. */
export const OLD_WEIGHTS_AVOID_AFTER_MS = 300;
/** Time before the bound on new weights from which no request begins on older ones, in milliseconds. */
export const OLD_WEIGHTS_CUTOFF_MARGIN_MS = 1_500;
/** Time that entries which lapsed while the store was away have to come back, in milliseconds. */
export const EXPIRY_GRACE_MS = 2_200;
/** Removals are taken for lapses if the store came back within this time, in milliseconds. */
export const EXPIRY_WINDOW_MS = 2_500;
/** Interval of periodic checks, in milliseconds. */
export const HOUSEKEEPING_INTERVAL_MS = 200;
/** Interval in which strikes are published, in milliseconds; each publication is a store call. */
export const STRIKE_PUBLISH_INTERVAL_MS = 400;
/** Strikes that one node publishes at most. */
export const MAX_PUBLISHED_STRIKES = 48;
/** Time after SIGTERM in which new requests are still served, in milliseconds; the balancer needs it. */
export const DRAIN_ACCEPT_PERIOD_MS = 2_700;
/** Time between the start of shutdown and its earliest end, in milliseconds. */
export const DRAIN_MIN_MS = 3_200;
/** Time before the end of the grace period at which the process exits, in milliseconds. */
export const DRAIN_END_MARGIN_MS = 400;
/** Log lines a second for requests that went well; further ones are counted only. */
export const MAX_LOG_LINES_PER_SECOND = 150;
/** Log bytes that may wait for standard output; beyond it lines are dropped and counted. */
export const MAX_LOG_BUFFER_BYTES = 1_048_576;
/** Interval in which waiting log lines are written, in milliseconds. */
export const LOG_FLUSH_INTERVAL_MS = 250;
/** Time limit of a call to a peer, in milliseconds. */
export const PEER_TIMEOUT_MS = 500;
/** Peers that are asked in turn while the store is away. */
export const PEERS_PER_READ = 3;
/** Age of a peer's copy beyond which it is not used, in milliseconds. */
export const MAX_PEER_COPY_AGE_MS = 60_000;
/** Nodes up to which each reads the store's tables at the full pace. */
export const MAX_FULL_RATE_NODES = 16;
/** Nodes of each availability zone that read the store's tables where relays are used; one may fail. */
export const READERS_PER_ZONE = 2;
/** Longest wait of a reader's call to the store, in milliseconds; it bounds the age of what it relays. */
export const READER_LONG_POLL_MS = 800;
/** Interval in which a node asks its reader, in milliseconds. */
export const TABLE_RELAY_INTERVAL_MS = 700;
/** Age of a reader's copy beyond which another reader is asked: its longest wait and pace, and a retry. */
export const MAX_READER_COPY_AGE_MS = 1_900;
/** Age of a relayed copy from which a node reads the store itself: a fresh one, and two intervals. */
export const MAX_RELAYED_COPY_AGE_MS = 3_000;
/** Nodes for each one that watches the store VMs; a watcher makes two calls a second to each of them. */
export const NODES_PER_WATCHER = 10;
/** Nodes that watch the store VMs at least, so that several may be lost at once. */
export const MIN_WATCHERS = 4;
/** Factor on the pace in large deployments; endpoints have to be known as leaving within seconds. */
export const MAX_POLL_INTERVAL_FACTOR = 2.2;
/** Interval in which a node that doesn't watch a store asks one that does, in milliseconds. */
export const INDEX_RELAY_INTERVAL_MS = 800;
/** Shared table of the nodes: addresses, strikes, the lease on orders and announced orders. */
export const SHARED_TABLE = 'lovagearch';
/** Pause after this node's address could not be written to the shared table, in milliseconds. */
export const ANNOUNCE_RETRY_DELAY_MS = 1_000;
/** Smallest prompt part that is kept at a store; a shorter one is read faster than it is moved. */
export const MIN_STORED_TOKENS = 128;
/** Time that a store may hold an event call open, in milliseconds; the platform's limit is 1,000. */
export const CACHE_STORE_LONG_POLL_MS = 1_000;
/** Least time between two event calls to one store, in milliseconds. */
export const CACHE_STORE_POLL_INTERVAL_MS = 500;
/** Pause after a failed event call, in milliseconds. */
export const CACHE_STORE_RETRY_DELAY_MS = 300;
/** Event calls that a store keeps free for others, of those that it serves at once. */
export const RESERVED_EVENT_CALLS = 3;
/** Time after which no endpoint with older weights was seen, and their parts are freed, in milliseconds. */
export const OLD_PARTS_FREE_DELAY_MS = 6_000;
/** Parts that one call frees. */
export const MAX_FREED_PARTS_PER_CALL = 200;
/** Interval of load digests to peers, in milliseconds; an endpoint serves about one request in it. */
export const LOAD_DIGEST_INTERVAL_MS = 150;
/** The same for each peer, which bounds the datagrams of a node at 50 a second. */
export const LOAD_DIGEST_INTERVAL_PER_PEER_MS = 20;
/** Endpoints in one digest; more would not fit into one datagram. */
export const MAX_LOAD_DIGEST_ENTRIES = 48;
/** Digests by which a datagram may be late; a larger step back is a restarted peer. */
export const MAX_LATE_DIGESTS = 16;
/** Nodes up to which each tells all others; more share within their availability zone. */
export const MAX_FULL_MESH_NODES = 16;
