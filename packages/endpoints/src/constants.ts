/** Round-trip time within an availability zone; from the users' description of the network. */
export const SAME_ZONE_ROUND_TRIP_MS = 0.2;
/** Round-trip time between two availability zones of a region. */
export const SAME_REGION_ROUND_TRIP_MS = 3;
/** Round-trip time between regions. */
export const CROSS_REGION_ROUND_TRIP_MS = 16;
/**
 * Additional cost of the link between regions, in milliseconds of caller latency: its bandwidth is
 * low, shared by all traffic and billed by volume.
 */
export const CROSS_REGION_PENALTY_MS = 40;
/** Additional cost of traffic between availability zones, in milliseconds; it is billed by volume. */
export const CROSS_ZONE_PENALTY_MS = 12;
/**
 * Cost weight of recomputing shared parts, relative to waiting time: prefill is billed and delays the
 * requests queued behind it.
 */
export const SHARED_PREFILL_WEIGHT = 4;
/** Delay that each running request adds to the first token of a new one. */
export const RUNNING_REQUEST_DELAY_MS = 1.5;
/** Delay that each request queued at an engine adds: the prefill time of an average prompt. */
export const WAITING_REQUEST_DELAY_MS = 30;
/** Weight of a new sample in the moving average of queueing delays. */
export const WAIT_EWMA_WEIGHT = 0.4;
/** Time constant of the exponential decay of the observed queueing delay. */
export const OBSERVED_WAIT_DECAY_MS = 1_500;
/** Maximum age of an endpoint's load report. */
export const LOAD_REPORT_MAX_AGE_MS = 1_000;
/** Maximum age of a peer's load digest; several digests arrive in this time. */
export const PEER_LOAD_MAX_AGE_MS = 1_500;
/** Prefill rate of an engine that also decodes running requests, relative to one that prefills alone. */
export const BUSY_PREFILL_SHARE = 0.82;
/** Expected wait up to which the time to a first token shows the prefill rate, in milliseconds. */
export const QUIET_WAIT_MS = 30;
/** Share of an engine's memory above which further requests have to wait for memory. */
export const MEMORY_FULL_SHARE = 0.9;
/** Initial estimate of the processing time of a plain call, until responses are measured. */
export const DEFAULT_PROCESSING_MS = 20;
/** Weight of a new sample in the moving average of processing times. */
export const PROCESSING_EWMA_WEIGHT = 0.1;
/** Share of a prompt that its affinity owner is expected to have cached; engine memory is scarce. */
export const OWNER_CACHE_HIT_SHARE = 0.7;
/** Share of the shared parts expected to be still cached at the endpoint that last computed them. */
export const RECENT_ENDPOINT_HIT_SHARE = 0.4;
/**
 * Maximum transfer time of cached parts as a multiple of their prefill time. A slower transfer can be
 * worthwhile: prefill is billed and occupies an engine, while a transfer delays only one request.
 */
export const MAX_TRANSFER_SHARE = 2;
/** Slowdown of a transfer between regions, relative to one within a zone. */
export const CROSS_REGION_TRANSFER_FACTOR = 10;
/** Slowdown of a transfer between two zones of a region, relative to one within a zone. */
export const CROSS_ZONE_TRANSFER_FACTOR = 2;
/** Time for which a prompt part is assumed to stay cached at the endpoint that it was sent to. */
export const CACHED_PART_TTL_MS = 30_000;
/** Maximum number of endpoints whose placed tokens are counted. */
export const MAX_TRACKED_ENDPOINTS = 4_096;
/** Maximum number of prompt parts whose last endpoint is tracked. */
export const MAX_TRACKED_PARTS = 8_192;
/** Suspension after a first transport failure; it doubles with each further one up to the maximum. */
export const INITIAL_SUSPENSION_MS = 400;
export const MAX_SUSPENSION_MS = 4_000;
/** Suspension after an endpoint rejected a request because it was full or executing an order. */
export const REJECTION_SUSPENSION_MS = 150;
/** Share of failed responses from which an endpoint is avoided. */
export const GREY_FAILURE_SHARE = 0.5;
/** Weight of one response in the moving average of the failure share. */
export const FAILURE_EWMA_WEIGHT = 0.15;
/** Cost of a failed response, in milliseconds of caller latency: the retry and its delay. */
export const FAILURE_COST_MS = 400;
/** Heartbeat intervals without a heartbeat after which an endpoint is used only as a last resort. */
export const MAX_MISSED_HEARTBEATS = 2.2;
/** Costs within this share of the lowest count as equal. */
export const NEAR_TIE_SHARE = 0.05;
/**
 * Time before the limit of new weights at which requests stop being sent to endpoints with older ones, in
 * milliseconds, in addition to the expected wait at the endpoint.
 */
export const OLD_WEIGHTS_CUTOFF_MARGIN_MS = 1_500;
/**
 * Number of starts of endpoints without a registration whose statements are kept; all 3,500 endpoints of the
 * largest deployment can lose theirs in one outage of the store.
 */
export const MAX_UNREGISTERED_STARTS = 4_096;
/** Number of services whose timings are estimated; registrations of other writers may name any number. */
export const MAX_TIMED_SERVICES = 256;
/**
 * Maximum time for which an endpoint is held, in milliseconds. A longer one, such as a value in milliseconds
 * taken for seconds, would take the endpoint away for good; an endpoint that wants no requests leaves instead.
 */
export const MAX_HOLD_MS = 600_000;
/** Services whose software versions are kept; deployments have a few dozen. */
export const MAX_VERSIONED_SERVICES = 256;
/** Software versions of a service that are kept; two or three are in use at a time. */
export const MAX_VERSIONS_PER_SERVICE = 16;
/** Interval at which a request in the queue of an endpoint is compared with its alternatives, in milliseconds. */
export const FIRST_EVENT_RECHECK_MS = 300;
/**
 * Time by which another endpoint has to answer a queued request earlier, in milliseconds, in addition to the work that
 * is lost: the errors of two forecasts of queues, each of about three prompts.
 */
export const MOVE_MARGIN_MS = 200;
/** Largest age of an endpoint's last bytes in a digest, in milliseconds; peers tell no older ones apart. */
export const MAX_REPORTED_AGE_MS = 60_000;
/**
 * Number of nodes up to which each receives load digests of all others. In larger deployments nodes exchange them
 * within their availability zone only, so that a node knows a part of the requests at an endpoint.
 */
export const MAX_FULL_VIEW_NODES = 16;
/** Time in which a load report loses its weight, in milliseconds; several calls end and begin in it. */
export const LOAD_REPORT_DECAY_MS = 300;
/** Weight of a new report in the usual load of an endpoint. */
export const USUAL_LOAD_WEIGHT = 0.1;
/**
 * Time in which the usual load loses its weight without a further report, in milliseconds. An endpoint that everybody
 * takes for full gets no requests and reports no more, so that nobody would learn that it is free.
 */
export const USUAL_LOAD_DECAY_MS = 1_000;
/**
 * The same share for calls that queue at endpoints whose contention is reported. With 0.05, the mean time of 950 calls
 * per second of 85 nodes was 5 % longer in contendedCalls.test.ts.
 */
export const STALE_TIE_SHARE = 0.2;
/** Requests of other zones that are added to their estimated number, in standard deviations of a Poisson process. */
export const UNKNOWN_REQUESTS_MARGIN = 1;
