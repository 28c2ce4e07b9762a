/**
 * Failure detection between nodes, endpoint health and dissemination of load. It owns the rules
 * and the wire format of digests; it uses no sockets, timers or logs, so that the state of
 * hundreds of nodes can run in one process.
 */
export * from './constants.js';
export * from './endpointHealth.js';
export * from './grid.js';
export * from './loadDigest.js';
export * from './loadRows.js';
export * from './loadTable.js';
export * from './memberList.js';
export * from './memberUpdates.js';
export * from './regionSummary.js';
export * from './watchers.js';
