import { MS_PER_SECOND } from '@lovagearch/common';

/** Time for which an outcome is kept after its last record. */
export const RETENTION_MS = 24 * 3_600 * MS_PER_SECOND;
/**
 * Time for which takeover rows are kept. A paused owner's next write must still find the takeover
 * row at its sequence number, so these rows outlive the outcomes.
 */
export const TAKEOVER_RETENTION_MS = 30 * RETENTION_MS;
/** Time after its begin during which a granted call may be sent. */
export const GRANT_VALIDITY_MS = 5 * MS_PER_SECOND;
/** Shortest time that a record waits for others. */
export const MIN_BATCH_DELAY_MS = 25;
/** Longest time that a record waits for others while the write rate is below its limit. */
export const MAX_BATCH_DELAY_MS = 250;
/** Segment rows that one shard writes in any second; 64 shards stay below 256 writes/s. */
export const MAX_WRITES_PER_SECOND = 4;
/** Bytes of one encoded segment before base64. */
export const MAX_SEGMENT_BYTES = 256 * 1024;
/** Bytes of the records that wait for a write in one shard. */
export const MAX_PENDING_BYTES = 4 * 1024 * 1024;
/** Records that wait for a write in one shard. */
export const MAX_PENDING_RECORDS = 4_096;
/** Response bytes kept inside a record; larger bodies go to the object store. */
export const MAX_INLINE_BODY_BYTES = 16 * 1024;
/** Bytes of names and values of the response headers kept in a record. */
export const MAX_HEADER_BYTES = 4_096;
/** Keys of one shard in memory: 24 h at 3 calls a second, which is 1/64 of 200 calls/s. */
export const MAX_KEYS_PER_SHARD = 270_000;
/** Bytes of inline responses of one shard in memory; older ones are read from their row. */
export const MAX_RESPONSE_BYTES_PER_SHARD = 8 * 1024 * 1024;
/** Largest idempotency key in characters. */
export const MAX_KEY_LENGTH = 255;
/** Distance of two age marks of a log. Expiry is exact to this distance. */
export const CHECKPOINT_INTERVAL_MS = 60 * MS_PER_SECOND;
/** Takeover rows of one shard that are tracked for removal. */
export const MAX_TRACKED_TAKEOVERS = 4_096;
