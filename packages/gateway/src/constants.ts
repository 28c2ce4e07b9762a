/** Retry delay advised to callers while no configuration or no endpoint is known, in milliseconds. */
export const NOT_READY_RETRY_AFTER_MS = 1_000;
/**
 * Retry delay advised to callers of a process that is shutting down, in milliseconds. It is short
 * because another process serves the next attempt.
 */
export const DRAINING_RETRY_AFTER_MS = 50;
/** Minimum retry delay advised to callers of a service that no endpoint can take a request of, in milliseconds. */
export const MIN_RETRY_AFTER_MS = 300;
/** Retry delay advised where no node reaches a service, in milliseconds; lost links are probed twice in that time. */
export const UNREACHABLE_RETRY_AFTER_MS = 1_000;
/** Maximum of it where refused requests don't return one after the other. */
export const MAX_RETRY_AFTER_MS = 4_000;
/** Time limit of a request that states none, in milliseconds. */
export const DEFAULT_TIME_LIMIT_MS = 30_000;
/** Time beyond a request's limit for the endpoint's own timeout response to arrive, in milliseconds. */
export const TIMEOUT_RESPONSE_GRACE_MS = 120;
/** Remaining time below which a request is no longer sent to an endpoint, in milliseconds. */
export const MIN_REMAINING_TO_SEND_MS = 10;
/** Fraction of an endpoint's connection limit that all nodes together use. */
export const CONNECTION_LIMIT_SHARE = 0.9;
/** Number of connections to one endpoint that a node may always open. */
export const MIN_CONNECTIONS_PER_ENDPOINT = 2;
/**
 * Time without data from an endpoint after which a repeatable streaming request is sent to another
 * endpoint, in milliseconds.
 */
export const STREAM_STALL_TIMEOUT_MS = 1_200;
/** Interval at which a response of a silent endpoint is compared with its alternatives, in milliseconds. */
export const SILENCE_RECHECK_MS = 200;
/** Bytes of an incomplete event from which its sender makes progress. */
export const MIN_PROGRESS_BYTES = 1_024;
/** Stall timeout of calls that are not streamed, as a multiple of the route's target latency. */
export const CALL_STALL_FACTOR = 2.5;
/** Size up to which a response is buffered until it is complete; a larger one is streamed. */
export const MAX_BUFFERED_RESPONSE_BYTES = 1_048_576;
/** Size up to which the body of a rejection is read, so that its connection can be reused. */
export const MAX_REJECTION_BODY_BYTES = 65_536;
/** Time up to which the body of a rejection is read, in milliseconds. */
export const REJECTION_BODY_TIMEOUT_MS = 200;
/** Unsent bytes for a slow caller that are buffered in any case; more are, as far as there is memory for them. */
export const MAX_UNSENT_BYTES = 131_072;
/** Unsent bytes for a slow caller at which reading from the endpoint pauses (backpressure): a buffered response. */
export const MAX_SLOW_CALLER_BYTES = MAX_BUFFERED_RESPONSE_BYTES;
/** Fraction of the memory limit that unsent bytes of slow callers may use beyond those buffered in any case. */
export const SLOW_CALLER_MEMORY_SHARE = 0.05;
/** Interval at which a caller is checked for whom reading from the endpoint has paused, in milliseconds. */
export const SLOW_CALLER_CHECK_MS = 1_000;
/**
 * Checks without a byte taken after which such a caller is disconnected. Node.js reports bytes as taken only when a
 * whole write ends: a caller that read 64 KB per 400 ms was cut after 3 s with 3 checks.
 */
export const MAX_SLOW_CALLER_CHECKS = 10;
/** Fraction of the memory limit that the bodies of waiting requests may use. */
export const BODY_MEMORY_SHARE = 0.15;
/** Age of the endpoints' copy from which peers are queried after a failed call, in milliseconds. */
export const ENDPOINT_TABLE_FALLBACK_AGE_MS = 1_500;
/** The same age for the shared table. */
export const SHARED_TABLE_FALLBACK_AGE_MS = 2_000;
/** Time to re-register for endpoints whose entry expired during an outage of the store, in milliseconds. */
export const EXPIRY_GRACE_MS = 2_200;
/**
 * Heartbeats that an outage has to last at least for entries to lapse in it. An entry lapses when three in a row
 * are missing, and the last one may have been due just before the outage.
 */
export const MIN_MISSED_HEARTBEATS_TO_LAPSE = 2;
/** Time after the store recovers in which a removed entry is treated as expired, in milliseconds. */
export const EXPIRY_WINDOW_MS = 2_500;
/** Interval of periodic maintenance, in milliseconds. */
export const HOUSEKEEPING_INTERVAL_MS = 200;
/**
 * Delay of the event loop from which it is logged, in milliseconds; work for a caller that has left has to
 * end within 500 ms.
 */
export const LOGGED_EVENT_LOOP_DELAY_MS = 250;
/** Interval at which strikes are published, in milliseconds; each publication costs a store call. */
export const STRIKE_PUBLISH_INTERVAL_MS = 400;
/** Maximum number of strikes that a node publishes; older ones are dropped. */
export const MAX_PUBLISHED_STRIKES = 128;
/** Endpoints whose crashes a node sees within one publication interval, up to which a request may be the cause of each. */
export const MAX_SEPARATE_CRASHES = 4;
/** Maximum number of completed requests that a node publishes with them. */
export const MAX_PUBLISHED_ANSWERS = 32;
/**
 * Time after a connection broke off until its endpoint counts as crashed, in milliseconds, unless another connection
 * to it is established then. A crash breaks all of them.
 */
export const CRASH_CONFIRMATION_MS = 60;
/** Maximum number of crashes in the row that a node publishes for prompt parts; older ones are dropped. */
export const MAX_PUBLISHED_CRASHES = 32;
/** Interrupted requests of one crash in that row. */
export const MAX_PUBLISHED_REQUESTS_PER_CRASH = 12;
/** Maximum size of the crashes in that row, in bytes; the platform limits a row to 64 KiB. */
export const MAX_PUBLISHED_CRASH_BYTES = 32_768;
/** Maximum number of cleared parts in that row. */
export const MAX_PUBLISHED_COMPLETIONS = 256;
/** Characters of a fingerprint in that row; 48 bits distinguish the few requests of one part. */
export const PUBLISHED_FINGERPRINT_LENGTH = 8;
/**
 * Time after the first output in which an endpoint that breaks off may have been crashed by the request, in
 * milliseconds. A crash by a prompt part comes when the answer begins.
 */
export const CRASH_AFTER_OUTPUT_MS = 1_000;
/**
 * Time after SIGTERM in which new requests are still accepted, in milliseconds. The load balancer needs it
 * to notice that the node is not ready.
 */
export const DRAIN_ACCEPT_PERIOD_MS = 2_700;
/** Minimum duration of a shutdown, in milliseconds. */
export const DRAIN_MIN_MS = 3_200;
/**
 * Time before the end of the grace period at which the shutdown stops waiting for requests, in
 * milliseconds.
 */
export const DRAIN_END_MARGIN_MS = 400;
/** Log lines per second of requests, and of state changes; further ones are only counted. */
export const MAX_LOG_LINES_PER_SECOND = 150;
/** Bytes of log lines buffered for standard output; beyond it, lines are dropped and counted. */
export const MAX_LOG_BUFFER_BYTES = 1_048_576;
/** Interval at which buffered log lines are written, in milliseconds. */
export const LOG_FLUSH_INTERVAL_MS = 250;
/** Time to the start of a peer's response, and between two parts of it, in milliseconds. */
export const PEER_TIMEOUT_MS = 500;
/** Time to the end of a peer's response, in milliseconds; a large copy over a slow link takes seconds. */
export const PEER_TRANSFER_TIMEOUT_MS = 5_000;
/** Length from which a row's value is compressed for peers, in characters; shorter ones fit into a few packets. */
export const MIN_COMPRESSED_VALUE_LENGTH = 2_048;
/** Maximum size of a peer's response, in bytes, as a faulty process may send bytes without end. */
export const MAX_PEER_RESPONSE_BYTES = 8_388_608;
/** Number of peers that are queried at once while the store is unavailable. */
export const PEERS_PER_READ = 3;
/** Age beyond which a node no longer serves its copy of a table to peers, in milliseconds. */
export const MAX_PEER_COPY_AGE_MS = 60_000;
/** Number of nodes up to which each node reads the store's tables at the full rate. */
export const MAX_FULL_RATE_NODES = 16;
/** Nodes per region that read the store's tables for the others. Two, so that one may fail. */
export const STORE_READERS_PER_REGION = 2;
/** Nodes per large availability zone that pass the tables on, so that one may fail. */
export const RELAYS_PER_ZONE = 2;
/**
 * Number of nodes of an availability zone from which it has relays. Fewer nodes copy from their region's readers,
 * which saves the time of a relay.
 */
export const MIN_ZONE_RELAY_NODES = 8;
/** Maximum long poll of a reader at the store, in milliseconds; it bounds the age of what it relays. */
export const READER_LONG_POLL_MS = 800;
/** Interval at which a follower copies the tables from its source, in milliseconds. */
export const TABLE_RELAY_INTERVAL_MS = 700;
/** The same for a relay, whose copies have to pass on to followers. */
export const ZONE_RELAY_INTERVAL_MS = 350;
/** The same for a node that has just started and lacks a table. */
export const FIRST_COPY_INTERVAL_MS = 150;
/** Interval at which a node that lacks a table checks whether it has to read it, in milliseconds. */
export const FIRST_READ_CHECK_INTERVAL_MS = 50;
/** Time after its start for which a node waits for the shared table, which names its sources, in milliseconds. */
export const SHARED_TABLE_WAIT_MS = 500;
/**
 * Time after its start in which a node that others read the store for doesn't read it, in milliseconds. If all
 * nodes restart at once, their reads would fill the links between regions.
 */
export const FIRST_COPY_WAIT_MS = 1_500;
/** Time for which a source has to fail before it is taken for one that is gone, in milliseconds. */
export const SOURCE_FAILURE_PERIOD_MS = 1_200;
/** Time for which a node does not ask a source that is gone, in milliseconds. */
export const SOURCE_EXCLUSION_MS = 15_000;
/**
 * Minimum time between the starts of a failed store call and the next one of a node that others read the store
 * for, in milliseconds. In an outage of the store, it bounds the calls of hundreds of nodes.
 */
export const FOLLOWER_STORE_RETRY_MS = 1_500;
/**
 * Age of a source's copy beyond which another source is used, in milliseconds: the longest poll and poll interval
 * of a reader, plus one retry.
 */
export const MAX_SOURCE_COPY_AGE_MS = 1_900;
/**
 * Maximum age of a relayed copy from which a node reads the store itself, in milliseconds: the maximum age
 * of a reader's copy plus the time of about two relay intervals.
 */
export const MAX_RELAYED_COPY_AGE_MS = 3_000;
/** Number of nodes per watcher of the cache stores; a watcher makes two calls per second to each store. */
export const NODES_PER_WATCHER = 10;
/** Minimum number of watchers of the cache stores, so that several may fail at once. */
export const MIN_WATCHERS = 4;
/** Interval at which a node that is not a watcher polls a watcher, in milliseconds. */
export const INDEX_RELAY_INTERVAL_MS = 800;
/** Table that the nodes share: their addresses, strikes, the order lease and announced orders. */
export const SHARED_TABLE = 'lovagearch';
/** Delay before a failed write of this node's address to the shared table is retried, in milliseconds. */
export const ANNOUNCE_RETRY_DELAY_MS = 1_000;
/**
 * Minimum size of a prompt part that is saved to a cache store; recomputing a shorter one is faster than
 * transferring it.
 */
export const MIN_STORED_TOKENS = 128;
/** Long poll of an event call to a cache store, in milliseconds; the platform allows at most 1,000. */
export const CACHE_STORE_LONG_POLL_MS = 1_000;
/** Minimum time between the starts of two event calls to one cache store, in milliseconds. */
export const CACHE_STORE_POLL_INTERVAL_MS = 500;
/** Delay after a failed event call, in milliseconds. */
export const CACHE_STORE_RETRY_DELAY_MS = 300;
/** Concurrent event calls of a cache store that the gateway leaves to other clients. */
export const RESERVED_EVENT_CALLS = 3;
/**
 * Time without an endpoint on older weights after which the prompt parts of those weights are freed, in
 * milliseconds.
 */
export const OLD_PARTS_FREE_DELAY_MS = 6_000;
/** Bounds of a cold endpoint where the settings state none; those of the deployments that have cold endpoints. */
export const DEFAULT_COLD_OVERAGE = 1.5;
export const DEFAULT_COLD_SLACK = 5;
/** Time that a request may wait for its connection to a cold endpoint, in milliseconds; later it counts anew. */
export const MAX_COLD_SEND_DELAY_MS = 300;
/**
 * Factor by which work is expected to take longer at a cold endpoint. Endpoints state no factor; half of the usual
 * speed is assumed, so that equal warm ones are preferred.
 */
export const COLD_WORK_FACTOR = 2;
/** Region rules remembered as unused; an operator names a few at most. */
export const MAX_UNUSED_REGION_RULES = 256;
/** Maximum number of prompt parts freed by one call. */
export const MAX_FREED_PARTS_PER_CALL = 200;
/** Minimum interval of load digests to peers, in milliseconds; an endpoint serves about one request in it. */
export const LOAD_DIGEST_INTERVAL_MS = 150;
/** Interval of load digests per peer, in milliseconds; it limits a node to 50 datagrams per second. */
export const LOAD_DIGEST_INTERVAL_PER_PEER_MS = 20;
/**
 * Time after which a stream is not resumed any more, in milliseconds: callers that state no time limit have as long, and
 * the deployments' time limits are half of it.
 */
export const STREAM_RETENTION_MS = 30_000;
/** Streams of all nodes whose software version is known; 16 nodes begin 130 a second. */
export const MAX_KNOWN_STREAMS = 16_384;
/** Streams that others don't know yet, or that no row has; a node begins 8 to 30 a second. */
export const MAX_UNSHARED_STREAMS = 2_048;
/** Characters of the key of a stream; 72 bits, so that no two of some thousand have the same. */
export const STREAM_KEY_LENGTH = 12;
/** Number of datagrams in which peers are told of a stream, as datagrams get lost. */
export const STREAM_SENDS = 3;
/** Interval at which peers are told of new streams, in milliseconds; a stream that breaks earlier can't go on elsewhere. */
export const ORIGIN_SHARE_INTERVAL_MS = 40;
/**
 * Time for a read of the store that confirms which software versions are in use, in milliseconds; a request waits for
 * it, and a store that is slow answers within half of it.
 */
export const VERSION_READ_TIMEOUT_MS = 500;
/** The same where a node reads it for a peer, whose wait for the answer ends after `PEER_TIMEOUT_MS`. */
export const PEER_STORE_READ_MS = 300;
/** Streams in one datagram, which has to fit into 1,400 bytes. */
export const MAX_STREAMS_PER_DATAGRAM = 60;
/** Interval at which streams are published in the shared table, in milliseconds; each publication costs a store call. */
export const ORIGIN_PUBLISH_INTERVAL_MS = STRIKE_PUBLISH_INTERVAL_MS;
/** The same per node where each publishes by itself, so that all together write ten times a second. */
export const ORIGIN_PUBLISH_INTERVAL_PER_NODE_MS = 100;
/** Age of a stream without a row from which other nodes than the first publish it, in milliseconds. */
export const STAND_IN_AGE_MS = 1_000;
/** Interval at which the versions in use are published without any stream, in milliseconds. */
export const VERSIONS_PUBLISH_INTERVAL_MS = 10_000;
/** Streams in one row of the shared table; a row has to stay below 64 KB. */
export const MAX_PUBLISHED_STREAMS = 1_000;
/** Retry delay advised where it isn't known which software version began a stream, in milliseconds. */
export const UNKNOWN_ORIGIN_RETRY_AFTER_MS = STAND_IN_AGE_MS;
/** Maximum number of endpoints in a load digest; more would not fit into one datagram. */
export const MAX_LOAD_DIGEST_ENTRIES = 48;
/** Sequence numbers by which a digest may be late; a larger step back means that the peer restarted. */
export const MAX_LATE_DIGESTS = 16;
/** Maximum length of the reason logged for a row that is rejected; a row can have thousands of faults. */
export const MAX_FAULT_REASON_LENGTH = 200;
/** Descriptors of `max_fds` that the platform counts for files; the rest is for sockets. */
export const RESERVED_FDS = 200;
/** Descriptors that are assumed if the settings state no limit; the usual limit of a process on Linux. */
export const DEFAULT_MAX_FDS = 1_024;
/** Fraction of the sockets that is left for endpoints, peers and the store; each request may need a connection to one. */
export const ENDPOINT_FDS_SHARE = 0.5;
/** Connections of clients that are accepted in any case. */
export const MIN_CALLER_CONNECTIONS = 32;
/** Connections of each listener that other listeners' connections don't displace; a load balancer needs a few. */
export const GUARANTEED_CONNECTIONS = 8;
/** Memory of the process without clients, in bytes: the program, its heap and Node.js; 85 MB were measured. */
export const PROCESS_BYTES = 94_371_840;
/** Fraction of the memory beyond that which connections, heads and unread responses may use. */
export const CALLER_MEMORY_SHARE = 0.25;
/** Fraction of the heap that they may use; heads are JavaScript objects. */
export const CALLER_HEAP_SHARE = 0.2;
/**
 * Fraction of the memory beyond the process's own that bodies may use. The rest is for responses, and for buffers that
 * are no longer used and not yet collected: with 0.3, bodies over the limit took more than the memory limit.
 */
export const MAX_BODY_MEMORY_SHARE_OF_FREE = 0.2;
/** Memory that is granted in any case, in bytes; two bodies of 4 MiB. */
export const MIN_CALLER_MEMORY_BYTES = 8_388_608;
/** Memory of a connection beside what it has received, in bytes: socket, parser and timers. */
export const CONNECTION_BYTES = 8_192;
/** Memory of a request in progress beside its head, in bytes. */
export const REQUEST_BYTES = 16_384;
/** Memory of a request up to which a few on other listeners than the callers' never wait: a head of some 2 KB. */
export const MAX_GUARANTEED_REQUEST_BYTES = 32_768;
/** Memory of a byte of a head, which is held as received, as parsed and as forwarded. */
export const HEAD_BYTE_FACTOR = 4;
/** Memory of a field of a head in addition, in bytes: strings and list entries; 150 were measured. */
export const HEAD_FIELD_BYTES = 150;
/** Bytes of a connection that are handed to the parser at a time. */
export const MAX_SLICE_BYTES = 16_384;
/** Bytes sent ahead of a response that are held; further ones are left unread. A read of a socket has up to as many. */
export const MAX_SENT_AHEAD_BYTES = 65_536;
/**
 * Time for which a request may be in progress while bytes behind it are left unread, in milliseconds. The end of such
 * a connection can't be seen, and nothing may reach an endpoint 500 ms after its caller has left.
 */
export const SENT_AHEAD_LIMIT_MS = 400;
/** Bytes of a refused body that are read so that the connection can be used again. */
export const MAX_DISCARDED_BYTES = 65_536;
/** Time for which the body of a refused request is read, in milliseconds. */
export const DISCARD_LIMIT_MS = 2_000;
/** Time without any progress after which a response that isn't read is given up, in milliseconds. */
export const UNREAD_RESPONSE_LIMIT_MS = 10_000;
/** Time after which a request whose turn didn't come for lack of memory is given up, in milliseconds. */
export const ADMISSION_WAIT_LIMIT_MS = 3_000;
/** Time without progress after which a body or a response counts as standing still, in milliseconds. */
export const STALLED_AFTER_MS = 1_000;
/** Use of the memory for bodies from which those that stand still give way. */
export const MAX_BODY_MEMORY_USE = 0.75;
/** Interval of the checks of connections, in milliseconds. */
export const CONNECTION_CHECK_INTERVAL_MS = 100;
/** Services whose overload is tracked; deployments have a few dozen. */
export const MAX_OVERLOAD_SERVICES = 256;
/** Work of a request that no endpoint was compared for, in milliseconds: that of a plain call. */
export const UNKNOWN_WORK_MS = 20;
/** Minimum time for which callers of streams wait for the next event, in milliseconds; from the users' letter. */
export const MIN_CALLER_PATIENCE_MS = 2_000;
/** The same as multiples of the route's target latency and of its event gap; callers wait for the largest of the three. */
export const HELD_TARGETS = 4;
export const HELD_EVENT_GAPS = 8;
/** Interval at which requests that wait at this node are tried, in milliseconds; shorter ones cost processor time. */
export const HOLD_CHECK_INTERVAL_MS = 50;
/** Time before a caller gives up at which a held request is refused, in milliseconds, as answers take time. */
export const HOLD_END_MARGIN_MS = 300;
/** Maximum number of requests of a service that wait at this node. */
export const MAX_HELD_CALLS = 512;
/** Share of the memory for bodies that the waiting requests of a service may use. */
export const HELD_BODY_SHARE = 0.25;
