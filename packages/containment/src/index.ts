/**
 * Attribution and quarantine of requests that crash endpoints. It decides from reports and clock
 * readings; it never sees a request's content, sends a message or takes an endpoint out itself.
 */
export * from './constants.js';
export * from './containmentSnapshot.js';
export * from './quarantineList.js';
export * from './crashCounter.js';
export * from './types.js';
