import { MAX_LOOKUP_ANCHORS, MIN_ANCHOR_DEPTH } from './constants.js';

/**
 * The block key of a prefix whose depth in blocks is a power of two. The prompt index is sharded by
 * anchor key.
 */
export interface Anchor {
  readonly depth: number;
  readonly key: string;
}

/**
 * Lists the deepest anchors of a chain of block keys, deepest first.
 *
 * @example
 * listDeepestAnchors(chainOf20Blocks); // depths 16, 8, 4
 */
export const listDeepestAnchors = (
  chain: readonly string[],
  count: number = MAX_LOOKUP_ANCHORS,
): Anchor[] => {
  const anchors: Anchor[] = [];
  for (let depth = MIN_ANCHOR_DEPTH; depth <= chain.length; depth *= 2) {
    const key = chain[depth - 1];
    if (key !== undefined) anchors.unshift({ depth, key });
  }
  return anchors.slice(0, count);
};

/** Returns the anchor under which a cached prefix is indexed, or undefined if it is too short. */
export const getIndexAnchor = (chain: readonly string[]): Anchor | undefined =>
  listDeepestAnchors(chain, 1)[0];
