/**
 * Requests of nodes that can't reach endpoints, which a peer carries to them. The code decides from its arguments and
 * clock readings alone; it never waits or sends messages.
 */
export { MAX_RELAY_TRIES } from './constants.js';
export * from './decideRelay.js';
export * from './relayAdmission.js';
export * from './relayPeers.js';
