/**
 * HTTP exchanges with endpoints: connection pooling, framing of event streams and retry decisions. This
 * package depends on no headers other than those of HTTP/1.1 and does not choose endpoints.
 */
export { ConnectionPool } from './connectionPool.js';
export * from './constants.js';
export type { ConnectionEnd } from './endpointCheck.js';
export type { EndpointLife, OpeningResult } from './endpointLife.js';
export type * from './openingProgress.js';
export * from './nextStep.js';
export * from './eventIdHistory.js';
export * from './eventStreamFramer.js';
export * from './isEncoded.js';
export type * from './types.js';
export * from './decideHedge.js';
export * from './latenessDistribution.js';
