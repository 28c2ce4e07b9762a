/**
 * Which endpoints a node reaches over the network, and when it tries those again that it does not. Decisions only: it
 * opens no connections and reads no clock.
 */
export { EndpointLinks, type LinkReview } from './endpointLinks.js';
export type * from './types.js';
export { ProbePlan, type ProbeTarget } from './probePlan.js';
