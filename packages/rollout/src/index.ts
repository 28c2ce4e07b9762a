/**
 * Orders that update endpoints to the target weight versions, sent by one lease holder at a time.
 * The package plans orders, maintains the lease and tracks each order until the endpoint has loaded
 * the weights; calls to the store and to endpoints are injected.
 */
export * from './constants.js';
export * from './orderLease.js';
export * from './planOrders.js';
export * from './rolloutCoordinator.js';
export * from './suspensionClock.js';
export type * from './types.js';
export * from './weightTargets.js';
