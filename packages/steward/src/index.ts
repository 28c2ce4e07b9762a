/**
 * The steward process places models on runners and swaps weight versions while it holds a lease. It
 * is the only sender of orders to the runners of its region; it never serves requests or changes the
 * configuration.
 */
export * from './constants.js';
export * from './regionalLoadLimit.js';
export * from './planOrders.js';
export * from './serviceReconciler.js';
export * from './startSteward.js';
