/**
 * Client for plain services. It sends each request once, returns only complete responses and never
 * retries.
 */
export * from './httpServiceClient.js';
export * from './types.js';
