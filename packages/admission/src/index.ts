/**
 * Account limits over all nodes, the fair queue, load shedding and the retry budget. It decides
 * from values and clock readings; it never waits, sends or reads configuration.
 */
export * from './accountShares.js';
export * from './classQueue.js';
export * from './constants.js';
export * from './demandTable.js';
export * from './fairQueue.js';
export * from './loadShedding.js';
export * from './decideAdmission.js';
export * from './rateMeter.js';
export * from './retryBudget.js';
export * from './tokenBucket.js';
export * from './types.js';
export * from './slidingWindowRetryBudget.js';
