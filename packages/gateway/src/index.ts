/**
 * The gateway process: it serves callers by the configuration, endpoints and weights that its ports
 * supply. It knows no name of the platform that it runs on.
 */
export * from './clusterState.js';
export * from './constants.js';
export { startGateway, type Gateway } from './startGateway.js';
export type * from './types.js';
export type { AnnouncedOrder } from '@lovagearch/rollout';
