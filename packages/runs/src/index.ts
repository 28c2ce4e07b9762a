/**
 * The at-most-once run log: records and segments, the state of one shard, sequence numbers and
 * takeover, batching, expiry, and a history checker. The package does no I/O: it doesn't access the
 * table, send messages or start timers.
 */
export * from './writeRateLimiter.js';
export * from './constants.js';
export * from './historyChecker.js';
export * from './pendingBatch.js';
export * from './segmentCodec.js';
export * from './shardLog.js';
export * from './shardState.js';
export * from './types.js';
