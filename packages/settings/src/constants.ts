/** Maximum size of a settings or configuration file, in bytes. */
export const MAX_FILE_BYTES = 1_048_576;
/** Maximum size of a key file, in bytes. */
export const MAX_KEY_FILE_BYTES = 4_096;
/** An error message shows at most this many characters of an invalid value. */
export const MAX_SHOWN_VALUE_LENGTH = 60;
/** Maximum number of errors reported for one file; the rest appear after these are fixed. */
export const MAX_REPORTED_ERRORS = 50;

export const MAX_PORT = 65_535;
export const MAX_SEEDS = 1_000;
export const MAX_OPERATOR_KEYS = 100;
export const MAX_RUN_SHARDS = 1_024;
export const MAX_DRAIN_LIMIT_MS = 3_600_000;
export const MAX_BODY_LIMIT_BYTES = 67_108_864;

export const DEFAULT_RUN_SHARDS = 8;
export const DEFAULT_DRAIN_LIMIT_MS = 600_000;
export const DEFAULT_MAX_BODY_BYTES = 4_194_304;
export const DEFAULT_STATSD_PORT = 8_125;
/** One ninth of a 20 Mbit/s link, for 9 entry VMs. */
export const DEFAULT_LINK_BYTES_PER_SECOND = 277_000;
export const MAX_LINK_BYTES_PER_SECOND = 1_000_000_000_000;
