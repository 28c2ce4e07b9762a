/**
 * Tracks endpoints by their registrations, load and health, and chooses one for each request. The code
 * decides from its arguments and clock readings alone; it never sends a request or reads a store.
 */
export * from './brittleness/endpointBrittleness.js';
export * from './brittleness/rejectionBudget.js';
export * from './brittleness/rejectionShare.js';
export * from './chooseEndpoint.js';
export * from './coldness.js';
export * from './coldShare.js';
export * from './constants.js';
export * from './endpoint.js';
export * from './endpointAvailability.js';
export * from './endpointStatements.js';
export * from './endpointTable.js';
export * from './firstEventWait.js';
export * from './leavingNotice.js';
export * from './loadDigest.js';
export * from './promptCacheEstimator.js';
export * from './rateShare.js';
export * from './peerLoads.js';
export * from './reportedLoad.js';
export * from './requestHold.js';
export * from './requestRateLimit.js';
export * from './softwareVersions.js';
export type * from './types.js';
