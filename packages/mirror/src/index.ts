/**
 * Local copies of store tables. A follower keeps a copy in sync with the store, falls back to peers while
 * the store is unavailable, and notifies listeners of changes. Row values are opaque to this package.
 */
export * from './mirrorFollower.js';
export * from './storeClock.js';
export * from './storeEra.js';
export * from './tableMirror.js';
export type * from './types.js';
