/** Suffix of the file names that `collectConfiguration` finds. */
export const CONFIGURATION_SUFFIX = '.lovagearch.jsonc';
/** Maximum number of files in one collection. */
export const MAX_COLLECTED_FILES = 5_000;
/**
 * Maximum number of directory entries that a collection scans, so that it fails early in a wrong
 * directory.
 */
export const MAX_SCANNED_PATHS = 500_000;
/** Maximum size of one configuration file, in bytes. */
export const MAX_CONFIGURATION_FILE_BYTES = 65_536;
/** Maximum number of entries in a bundle, including tombstones. */
export const MAX_BUNDLE_ENTRIES = 10_000;
/**
 * Maximum number of deleted entries that stay in a bundle as tombstones; the oldest are dropped
 * first.
 */
export const MAX_TOMBSTONES = 1_000;
export const MAX_BUNDLE_BYTES = 8_388_608;

export const MAX_ROUTES = 1_000;
export const MAX_KEYS_PER_ACCOUNT = 16;
export const MAX_SERVICES_PER_ACCOUNT = 200;

export const DEFAULT_MAX_CONCURRENT_LOADS = 1;
/** KV cache size of a mid-size model, in bytes per token. */
export const DEFAULT_KV_BYTES_PER_TOKEN = 100_000;
export const DEFAULT_PREFILL_TOKENS_PER_SECOND = 8_000;
export const DEFAULT_STORE_BYTES_PER_SECOND = 20_000_000;
export const DEFAULT_TTFT_WEIGHT = 1;
export const DEFAULT_RECOMPUTE_WEIGHT = 0.05;
export const DEFAULT_LINK_WEIGHT = 0.001;
export const DEFAULT_RETENTION_HOURS = 72;
export const DEFAULT_ROUTE_TIMEOUT_MS = 30_000;

/**
 * Maximum number of attempts of one publication; each lost race or failed platform call uses one.
 */
export const MAX_PUBLISH_ATTEMPTS = 8;

export const HEAD_KEY = 'config/head';
export const OBJECT_PREFIX = 'configuration/';
