/** Round trip within an availability zone, in milliseconds; from the users' description of places. */
export const SAME_ZONE_ROUND_TRIP_MS = 0.2;
/** Round trip between two availability zones of a region, in milliseconds. */
export const SAME_REGION_ROUND_TRIP_MS = 3;
/** Round trip between regions, in milliseconds. */
export const CROSS_REGION_ROUND_TRIP_MS = 16;
/**
 * Cost of the link between regions beside its delay, in milliseconds of the caller's time: the link
 * is narrow, shared by all traffic and billed by volume.
 */
export const CROSS_REGION_PENALTY_MS = 40;
/** Cost of leaving the availability zone beside the delay, in milliseconds; billed by volume. */
export const CROSS_ZONE_PENALTY_MS = 12;
/** Prompt tokens that an engine reads in a millisecond; from the engines' data sheet. */
export const PREFILL_TOKENS_PER_MS = 81.9;
/**
 * Weight of reading shared parts again against waiting time: it is paid for, and delays the requests
 * behind it.
 */
export const SHARED_PREFILL_WEIGHT = 4;
/** Time that each running request adds to the first token of a new one, in milliseconds. */
export const RUNNING_REQUEST_DELAY_MS = 1.5;
/** Time that each waiting request of an engine adds, in milliseconds: a mean prompt's prefill. */
export const WAITING_REQUEST_DELAY_MS = 30;
/** Time of an engine before the first token beside reading the prompt, in milliseconds. */
export const FIRST_TOKEN_OVERHEAD_MS = 45;
/** Weight of the newest answer in the time that answers waited. */
export const WAIT_EWMA_WEIGHT = 0.4;
/** Time constant in which the time that answers waited is forgotten, in milliseconds. */
export const OBSERVED_WAIT_DECAY_MS = 1_500;
/** Age up to which a load report of an endpoint counts, in milliseconds. */
export const LOAD_REPORT_MAX_AGE_MS = 1_000;
/** Age up to which a peer's digest counts, in milliseconds; it comes several times in this time. */
export const PEER_LOAD_MAX_AGE_MS = 1_500;
/** Prompt tokens that an engine reads in a millisecond between the tokens of running requests. */
export const EFFECTIVE_PREFILL_TOKENS_PER_MS = 67;
/** Share of an engine's memory that requests may take before others have to wait for it. */
export const MEMORY_FULL_SHARE = 0.9;
/** Cost of an engine whose memory is full, in milliseconds: a run has to end first. */
export const MEMORY_FULL_PENALTY_MS = 500;
/** First guess of the work of a plain call, in milliseconds, until answers were measured. */
export const DEFAULT_PROCESSING_MS = 20;
/** Weight of a new measurement in the mean work time. */
export const PROCESSING_EWMA_WEIGHT = 0.1;
/** Share of a prompt that its affinity owner is expected to hold; memory is short everywhere. */
export const OWNER_CACHE_HIT_SHARE = 0.7;
/** Share of the shared parts that the endpoint which read them last is expected to have still. */
export const RECENT_ENDPOINT_HIT_SHARE = 0.4;
/**
 * Time of a transfer as a share of reading the parts again, up to which it is made: reading is paid for
 * and takes an engine's time, while a transfer only delays one request.
 */
export const MAX_TRANSFER_SHARE = 2;
/** Factor of a transfer's time between regions. */
export const CROSS_REGION_TRANSFER_FACTOR = 10;
/** Factor of a transfer's time between two availability zones of a region. */
export const CROSS_ZONE_TRANSFER_FACTOR = 2;
/** Time for which a prompt part that was sent to an endpoint counts as kept there. */
export const CACHED_PART_TTL_MS = 30_000;
/** Prompt parts whose last endpoint is remembered. */
export const MAX_TRACKED_PARTS = 8_192;
/** First pause of an endpoint after a failure in transport, in milliseconds; doubles up to the next. */
export const INITIAL_SUSPENSION_MS = 400;
export const MAX_SUSPENSION_MS = 4_000;
/** Pause after an endpoint rejected a request as full or busy with an order, in milliseconds. */
export const REJECTION_SUSPENSION_MS = 150;
/** Failed answers among the last ones, as a share, from which an endpoint is avoided. */
export const GREY_FAILURE_SHARE = 0.5;
/** Weight of one answer in the share of failed answers. */
export const FAILURE_EWMA_WEIGHT = 0.15;
/** Cost of a certain failure, in milliseconds of a caller's time: another try and its delay. */
export const FAILURE_COST_MS = 400;
/** Missed heartbeat intervals after which an endpoint is used only if nothing else is left. */
export const MAX_MISSED_HEARTBEATS = 2.2;
/** Difference of cost below which endpoints count as equal, as a share of the best. */
export const NEAR_TIE_SHARE = 0.05;
