/**
 * Cluster-wide account limits, fair queueing, load shedding and retry budgets. The code decides from
 * its arguments and clock readings alone; it never waits, sends messages or reads configuration.
 */
export * from './accountShares.js';
export * from './classQueue.js';
export * from './constants.js';
export * from './demandMeters.js';
export * from './demandTable.js';
export * from './fairShare.js';
export * from './holdQueue.js';
export * from './fairQueue.js';
export * from './loadShedding.js';
export * from './decideAdmission.js';
export * from './rateMeter.js';
export * from './repeatedRefusals.js';
export * from './retryBudget.js';
export * from './returnSchedule.js';
export * from './tokenBucket.js';
export * from './types.js';
export * from './slidingWindowRetryBudget.js';
