/**
 * Attribution and quarantine of requests that crash endpoints. Decisions depend on crash reports
 * and clock readings only. The package never reads request contents, sends messages or removes
 * endpoints from rotation itself.
 */
export * from './constants.js';
export type { PartQuarantine } from './findSuspectParts.js';
export * from './containmentSnapshot.js';
export * from './quarantineList.js';
export * from './crashCounter.js';
export * from './promptPartCrashes.js';
export * from './types.js';
