/**
 * Authenticated connections between nodes and the messages sent over them. This package manages
 * connections, buffers and timeouts; it validates payloads but does not interpret them.
 */
export * from './constants.js';
export * from './memoryMesh.js';
export * from './memoryNetwork.js';
export { TrafficMeter, type TopicTraffic } from './trafficMeter.js';
export * from './types.js';
export { WsPeerMesh, type WsPeerMeshOptions } from './wsPeerMesh.js';
