/**
 * Authenticated connections between nodes and the messages on them. It owns connections, buffers
 * and time limits; it never interprets a payload beyond its schema.
 */
export * from './constants.js';
export * from './memoryMesh.js';
export * from './memoryNetwork.js';
export { TrafficMeter, type TopicTraffic } from './trafficMeter.js';
export * from './types.js';
export { WsPeerMesh, type WsPeerMeshOptions } from './wsPeerMesh.js';
