/**
 * Orders that bring endpoints to the named weight versions, given by one holder of a lease. It owns the
 * plan, the lease and the follow-up of each order; the calls to the store and to endpoints are supplied.
 */
export * from './constants.js';
export * from './orderLease.js';
export * from './planOrders.js';
export * from './rolloutCoordinator.js';
export * from './suspensionClock.js';
export type * from './types.js';
