/**
 * Estimates how fast endpoints work from the responses that this process observes, so that decisions hold for any
 * engine. It takes values and clock readings and returns values; it sends nothing and chooses no endpoint.
 */
export * from './constants.js';
export * from './contention.js';
export * from './engineTimings.js';
export * from './fitLine.js';
export * from './workTime.js';
