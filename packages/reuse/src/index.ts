/**
 * Reuse of cached prompt prefixes: block keys, the prompt index shard, and the choice of prefixes
 * that are exported to and evicted from store VMs. It only makes decisions: it moves no data and
 * opens no sockets.
 */
export * from './anchors.js';
export * from './blockKeys.js';
export * from './constants.js';
export * from './indexShard.js';
export * from './locations.js';
export * from './prefixCatalog.js';
export * from './reuseHistory.js';
export * from './segmentCatalog.js';
export * from './storeIndex.js';
export * from './storePlacement.js';
export * from './transferSlowdownTracker.js';
