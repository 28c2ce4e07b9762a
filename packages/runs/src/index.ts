/**
 * The at-most-once run log: shard state, segments and recovery.
 */
export {};
