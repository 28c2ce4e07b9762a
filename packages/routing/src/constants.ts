/** Round trip between two VMs of one availability zone, in milliseconds. */
export const SAME_ZONE_ROUND_TRIP_MS = 1;
/** Round trip between two availability zones of a region. */
export const SAME_REGION_ROUND_TRIP_MS = 3;
/** Round trip between two regions. */
export const CROSS_REGION_ROUND_TRIP_MS = 16;
/** Costs within this share of the best are treated as equal, so that nodes do not all pick one runner. */
export const NEAR_TIE_SHARE = 0.1;
/** Costs this close to the best are treated as equal whatever their share, in cost units. */
export const NEAR_TIE_COST = 2;
/** Runners of the own zone, and of the region, from which the least loaded are taken. */
export const CANDIDATE_SAMPLE_SIZE = 8;
/** Least loaded runners taken from each sample. */
export const LEAST_LOADED_COUNT = 2;
/** Runners of other regions taken without a cached prefix, when the own region has none free. */
export const CROSS_REGION_CANDIDATE_COUNT = 2;
/** Decode steps slow down with the sequences of a batch; cost of one active sequence, in milliseconds. */
export const ACTIVE_SEQUENCE_COST_MS = 4;
/** Sequences that a runner decodes together; a further one waits until another ends. */
export const MAX_BATCH_SEQUENCES = 16;
/**
 * Wait for a place in a full batch, in milliseconds for each sequence that waits: an answer of 100 to
 * 300 tokens at 50 ms frees one of 16 places every 300 to 900 ms.
 */
export const BATCH_SLOT_WAIT_MS = 500;
/** Age after which an estimate of own work no longer waits for a report, in milliseconds. */
export const UNREPORTED_WORK_MAX_AGE_MS = 2_000;
/** Bytes of an answer on the link for each requested token. */
export const RESPONSE_BYTES_PER_TOKEN = 60;
/** Share of a store link that imports may use for a cost estimate while exports run. */
export const IMPORT_LINK_SHARE = 0.5;
/** Largest queue of a runner that still takes new work from this node, in milliseconds. */
export const MAX_QUEUE_MS = 30_000;
