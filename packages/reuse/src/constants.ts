/** Bytes of a block key: a SHA-256 digest is truncated to 128 bits. */
export const BLOCK_KEY_BYTES = 16;
/** Smallest anchor depth in blocks (about 256 tokens); shorter prefixes are cheap to recompute. */
export const MIN_ANCHOR_DEPTH = 4;
/** Deepest anchors queried by a lookup; 3 find a cached prefix of an eighth of the prompt. */
export const MAX_LOOKUP_ANCHORS = 3;
/** Locations kept under one anchor. */
export const MAX_LOCATIONS_PER_ANCHOR = 8;
/** Anchors kept by one index shard: five times the 1,260 anchors per node in a 350-node cluster. */
export const MAX_ANCHORS_PER_SHARD = 6_400;
/** Prefixes that a watcher tracks for one runner. */
export const MAX_PREFIXES_PER_RUNNER = 512;
/** Shortest prefix worth an export, in blocks. */
export const MIN_EXPORT_DEPTH = 8;
/** Share of a runner's cache in use at and above which prefixes are exported. */
export const MIN_EXPORT_CACHE_USE = 0.3;
/** Prior probability that a prefix is used again, for accounts without a history. */
export const DEFAULT_REUSE_PROBABILITY = 0.5;
/** Weight of the prior probability, as a number of observations. */
export const REUSE_PRIOR_WEIGHT = 4;
/** Share of a store VM's capacity above which segments are evicted. */
export const STORE_HIGH_WATERMARK = 0.9;
/** Share of a store VM's capacity that an eviction pass aims for. */
export const STORE_LOW_WATERMARK = 0.8;
/** Segments tracked for one store VM. */
export const MAX_SEGMENTS_PER_STORE = 20_000;
