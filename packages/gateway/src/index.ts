/**
 * The gateway process. It routes requests of callers to endpoints according to the configuration,
 * registrations and weight versions that its dependencies supply. It is independent of the platform:
 * names of the platform's protocol appear only in the adapter that implements `GatewayDependencies`.
 */
export * from './clusterState.js';
export * from './constants.js';
export { startGateway, type Gateway } from './startGateway.js';
export type * from './types.js';
export type { AnnouncedOrder } from '@lovagearch/rollout';
