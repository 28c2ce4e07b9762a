/**
 * Client of runners (model engines). It owns the wire format, time limits and the detection of
 * silent connections; it never decides where a request goes or whether it is retried.
 */
export * from './engineClient.js';
export * from './httpEngineClient.js';
export * from './types.js';
