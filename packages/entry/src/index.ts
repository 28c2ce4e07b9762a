/**
 * The entry process: the caller API, the administration API and the background tasks of a node.
 */
export * from './adminServer.js';
export * from './callerConfiguration.js';
export * from './decisionLog.js';
export * from './startEntry.js';
export * from './types.js';
