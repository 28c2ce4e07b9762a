/**
 * Reuse of computed prompts: identity of cache blocks, the prompt index shard, and which prefixes are
 * exported to and dropped from store VMs. It decides only; it moves no data and opens no sockets.
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
