/**
 * The published configuration: schemas of its files, their collection, canonical form and digest,
 * the merge of concurrent publications, and the state that only moves to higher revisions. It
 * decides and checks; sockets and timers belong to its callers, which pass clients in.
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
