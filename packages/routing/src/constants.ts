/** Round-trip time between two VMs of an availability zone. */
export const SAME_ZONE_ROUND_TRIP_MS = 1;
/** Round-trip time between two availability zones of a region. */
export const SAME_REGION_ROUND_TRIP_MS = 3;
/** Round-trip time between two regions. */
export const CROSS_REGION_ROUND_TRIP_MS = 16;
/** Costs within this share of the best count as equal, so that nodes spread over several runners. */
export const NEAR_TIE_SHARE = 0.1;
/** Costs within this absolute distance of the best count as equal, in cost units. */
export const NEAR_TIE_COST = 2;
/** Size of each random sample from which the least loaded runners are taken. */
export const CANDIDATE_SAMPLE_SIZE = 8;
/** Number of least loaded runners taken from the samples of the node's zone and region. */
export const LEAST_LOADED_COUNT = 2;
/** Number of runners without a cached prefix taken from other regions when the own region is full. */
export const CROSS_REGION_CANDIDATE_COUNT = 2;
/** Delay that one active sequence adds to a new prompt; decode steps slow down with the batch size. */
export const ACTIVE_SEQUENCE_COST_MS = 4;
/** Maximum number of sequences that a runner decodes in one batch; further ones wait for a slot. */
export const MAX_BATCH_SEQUENCES = 16;
/**
 * Delay per sequence that waits for a slot in a full batch: responses of 100 to 300 tokens at 50 ms
 * per token free one of 16 slots every 300 to 900 ms.
 */
export const BATCH_SLOT_WAIT_MS = 500;
/** Age after which sent work no longer counts as missing from the runner's load report. */
export const UNREPORTED_WORK_MAX_AGE_MS = 2_000;
/** Estimated response bytes on the link between regions per requested token. */
export const RESPONSE_BYTES_PER_TOKEN = 60;
/** Share of a store VM's bandwidth that estimates assume for imports while exports are running. */
export const IMPORT_LINK_SHARE = 0.5;
/** Queueing delay beyond which a region's runners count as full and other regions are considered. */
export const MAX_QUEUE_MS = 30_000;
