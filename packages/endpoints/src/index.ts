/**
 * Endpoints as registrations and exchanges show them, and the choice of one for a request. It decides
 * from values and clock readings; it never sends a request or reads a store.
 */
export * from './chooseEndpoint.js';
export * from './constants.js';
export * from './endpoint.js';
export * from './endpointTable.js';
export * from './loadDigest.js';
export * from './promptCacheEstimator.js';
export type * from './types.js';
