/**
 * The steward process: model placement and weight swaps under a lease. It owns the orders to the
 * runners of its region and never serves requests or changes the configuration.
 */
export * from './constants.js';
export * from './loadShare.js';
export * from './planOrders.js';
export * from './serviceSteward.js';
export * from './startSteward.js';
