import { MS_PER_SECOND } from '@lovagearch/common';

/** Time for which an outcome is kept after its last record, in milliseconds. */
export const RETENTION_MS = 24 * 3_600 * MS_PER_SECOND;
/**
 * Time for which takeover rows are kept, in milliseconds. They outlive the outcomes: the next write
 * of an owner that was paused has to conflict with the takeover row at its sequence number.
 */
export const TAKEOVER_RETENTION_MS = 30 * RETENTION_MS;
/** Time after a begin request within which a granted call may be sent, in milliseconds. */
export const GRANT_VALIDITY_MS = 5 * MS_PER_SECOND;
/** Shortest time that a record waits to be batched, in milliseconds. */
export const MIN_BATCH_DELAY_MS = 25;
/** Longest batching delay while the write rate is below its limit, in milliseconds. */
export const MAX_BATCH_DELAY_MS = 250;
/**
 * Maximum number of segment rows that one shard writes in any second; 64 shards write at most 256
 * rows/s.
 */
export const MAX_WRITES_PER_SECOND = 4;
/** Maximum size of an encoded segment before base64, in bytes. */
export const MAX_SEGMENT_BYTES = 256 * 1024;
/** Maximum size of the records that wait for a write in one shard, in bytes. */
export const MAX_PENDING_BYTES = 4 * 1024 * 1024;
/** Maximum number of records that wait for a write in one shard. */
export const MAX_PENDING_RECORDS = 4_096;
/** Largest response body stored inside a record, in bytes; larger ones go to the object store. */
export const MAX_INLINE_BODY_BYTES = 16 * 1024;
/** Maximum size of the response headers in a record, names and values, in bytes. */
export const MAX_HEADER_BYTES = 4_096;
/**
 * Maximum number of keys of one shard in memory: 24 h at 3.125 calls/s, which is 1/64 of 200
 * calls/s.
 */
export const MAX_KEYS_PER_SHARD = 270_000;
/**
 * Maximum size of one shard's inline responses in memory, in bytes; older responses are read from
 * the table.
 */
export const MAX_RESPONSE_BYTES_PER_SHARD = 8 * 1024 * 1024;
/** Maximum length of an idempotency key, in characters. */
export const MAX_KEY_LENGTH = 255;
/**
 * Longest time span of the segments that share one age checkpoint of a log, in milliseconds. Expiry
 * has this precision.
 */
export const CHECKPOINT_INTERVAL_MS = 60 * MS_PER_SECOND;
/** Maximum number of takeover rows of one shard that are tracked for removal. */
export const MAX_TRACKED_TAKEOVERS = 4_096;
