/**
 * Cache block identity, the prompt index shard, and placement over cache tiers.
 */
export {};
