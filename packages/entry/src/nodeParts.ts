/**
 * Re-exports the node components that the slope driver runs by the hundred in one process. The
 * entry process itself is assembled in buildNode.ts.
 */
export { AdmissionController } from './admissionController.js';
export type { EndpointView } from './types.js';
export { ClusterDiscovery } from './clusterDiscovery.js';
export { DistributedPromptIndex } from './distributedPromptIndex.js';
export { createEmptyShard, loadShard } from './runShardReader.js';
// The result constructors that the slope driver's in-memory clients need.
export { errAsync, okAsync } from 'neverthrow';
