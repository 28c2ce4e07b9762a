/**
 * Clients of the platform's services: table, object store and VM list. They own the wire format,
 * time limits and the reading back of lost answers; they hold no state of the system.
 */
export * from './objectClient.js';
export * from './tableClient.js';
export * from './types.js';
export * from './vmListClient.js';
