/**
 * Local copies of store tables. It follows the store, falls back to peers and tells listeners what
 * changed; it never interprets a row's value.
 */
export * from './mirrorFollower.js';
export * from './tableMirror.js';
export type * from './types.js';
