/**
 * Client of plain services. It sends each call once and returns whole answers only; it never
 * retries.
 */
export * from './httpServiceClient.js';
export * from './types.js';
