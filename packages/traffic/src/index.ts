/**
 * Lookups of routes, services, client accounts and limits in one version of the configuration. The
 * package neither reads configuration files nor decides on the admission of requests.
 */
export * from './allowedRegions.js';
export * from './trafficRules.js';
export type * from './types.js';
