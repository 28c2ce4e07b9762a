/**
 * Bodies that other parties send, read at a cost in proportion to their bytes, however they are cut into
 * chunks: memory for their bytes only, within a budget of the whole process, and a bounded share of its
 * processor time. The package knows no message formats and never retries.
 */
export * from './bodyBuffer.js';
export * from './boundedAgent.js';
export * from './boundedSocket.js';
export * from './memoryBudget.js';
export * from './noMemoryError.js';
export * from './pacedReader.js';
export * from './readJson.js';
export * from './readPacer.js';
export * from './readUnsentBytes.js';
export * from './receiveLimits.js';
export * from './responseTooLargeError.js';
export * from './sendCall.js';
