/**
 * Chooses a runner for each request from what is cached where, the load of runners and the cost of
 * the ways to get there. It decides only: it sends nothing and keeps no connection.
 */
export * from './candidates.js';
export * from './chooseRunner.js';
export * from './estimates.js';
export * from './linkBudget.js';
export * from './unreportedLoadTracker.js';
export * from './types.js';
