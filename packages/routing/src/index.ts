/**
 * Chooses a runner for each request by the location of cached prefixes, runner load and network cost.
 * The package only makes decisions; it opens no connections and sends no messages.
 */
export * from './candidates.js';
export * from './chooseRunner.js';
export * from './estimates.js';
export * from './linkBudget.js';
export * from './unreportedLoadTracker.js';
export * from './types.js';
