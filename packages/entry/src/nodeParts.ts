/**
 * The parts of a node, for the slope driver, which runs them by the hundred in one process. It
 * owns nothing; the entry process itself is put together in buildNode.ts.
 */
export { AdmissionController } from './admissionController.js';
export type { EndpointView } from './types.js';
export { NodeCluster } from './nodeCluster.js';
export { PromptIndexNode } from './promptIndexNode.js';
export { createEmptyShard, loadShard } from './runShardReader.js';
// The values that clients return, for the slope driver's clients that exist as values only.
export { errAsync, okAsync } from 'neverthrow';
