/**
 * HTTP clients of the platform's services: table, object store and VM list. They implement the wire
 * format, timeouts and the read-back after a lost response, and keep no cluster state.
 */
export * from './objectClient.js';
export * from './tableClient.js';
export * from './types.js';
export * from './vmListClient.js';
