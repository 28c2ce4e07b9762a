/**
 * The published configuration: schemas and collection of its files, canonical form and digest, the
 * merge of concurrent publications, and the state that only moves to higher revisions. Callers
 * provide the platform clients and timers.
 */
export * from './bundle.js';
export * from './canonicalJson.js';
export * from './collect.js';
export * from './constants.js';
export * from './crossChecks.js';
export * from './merge.js';
export * from './publish.js';
export * from './schemas.js';
export * from './source.js';
export * from './state.js';
export * from './view.js';
