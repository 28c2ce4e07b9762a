/**
 * Utilities shared by all packages: branded ids, clocks, typed errors, hashing, bounded maps,
 * seeded random numbers, logging and metrics. It contains no domain logic and does no I/O besides
 * writing logs and metrics.
 */
export * from './acquireAddress.js';
export * from './boundedMap.js';
export * from './clock.js';
export * from './connectErrors.js';
export * from './hopByHopHeaders.js';
export * from './constants.js';
export * from './errors.js';
export * from './hashing.js';
export * from './ids.js';
export * from './logger.js';
export * from './metrics.js';
export * from './progressTimeout.js';
export * from './random.js';
export * from './retryWhilePassing.js';
export * from './simulatedTime.js';
export * from './socketAddress.js';
export * from './terminationSignals.js';
