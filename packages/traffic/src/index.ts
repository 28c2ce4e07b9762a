/**
 * Routes, services, client accounts and limits as one version of the configuration states them. It
 * answers lookups; it never reads a configuration or decides whether a request is admitted.
 */
export * from './trafficRules.js';
export type * from './types.js';
