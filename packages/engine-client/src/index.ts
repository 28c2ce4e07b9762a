/**
 * HTTP client for runners (model engines). Implements the wire format, timeouts and the detection of
 * idle connections. Routing and retries are left to the caller.
 */
export * from './engineClient.js';
export * from './httpEngineClient.js';
export * from './types.js';
