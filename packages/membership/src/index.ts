/**
 * Failure detection between nodes, endpoint health and dissemination of load, with the wire format
 * of load digests. The package uses no sockets, timers or logs, so that tests can simulate hundreds
 * of nodes in one process.
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
