/**
 * Exchanges with endpoints: connections and their reuse, the framing of event streams and the decision
 * after an attempt. It knows no header of any protocol beyond HTTP/1.1 and chooses no endpoint.
 */
export { ConnectionPool } from './connectionPool.js';
export * from './constants.js';
export * from './nextStep.js';
export * from './eventStreamFramer.js';
export type * from './types.js';
