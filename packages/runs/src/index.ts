/**
 * The at-most-once run log: records and segments, the state of one shard, sequence numbers and
 * takeover, batching, expiry, and a checker of histories. It decides from values only; it never
 * reads the table, sends a message or starts a timer.
 */
export * from './writeRateLimiter.js';
export * from './constants.js';
export * from './historyChecker.js';
export * from './pendingBatch.js';
export * from './segmentCodec.js';
export * from './shardLog.js';
export * from './shardState.js';
export * from './types.js';
