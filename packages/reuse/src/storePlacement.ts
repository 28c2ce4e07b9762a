import { computeHash32 } from '@lovagearch/common';

const MAX_HASH = 2 ** 32;

/** A store VM that keeps prompt parts after engines have evicted them from their caches. */
export interface PartStore {
  readonly address: string;
  readonly zone: string;
  readonly capacityTokens: number;
}

/**
 * Chooses the store VM of a prompt part by rendezvous hashing weighted by capacity. All nodes
 * choose the same store, so parts can be found without exchanging an index.
 *
 * @returns undefined if there are no stores
 * @example
 * const store = chooseStore('v3/5c1e07a2', stores);
 */
export const chooseStore = <Store extends PartStore>(
  partKey: string,
  stores: readonly Store[],
): Store | undefined => {
  let chosen: Store | undefined;
  let best = Number.NEGATIVE_INFINITY;
  for (const store of stores) {
    const uniform = (computeHash32(`${store.address}/${partKey}`) + 0.5) / MAX_HASH;
    const score = store.capacityTokens / -Math.log(uniform);
    if (score > best) {
      best = score;
      chosen = store;
    }
  }
  return chosen;
};
