/**
 * Authenticated connections between nodes and the messages on them. It owns connections, buffers
 * and time limits; it never interprets a payload beyond its schema.
 */
export * from './memoryMesh.js';
export * from './memoryNetwork.js';
export * from './types.js';
