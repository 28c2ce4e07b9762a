import { BoundedMap, computeHash32 } from '@lovagearch/common';

const MAX_HASH = 2 ** 32;

/** A store VM that keeps prompt parts beyond the life of engines' caches. */
export interface PartStore {
  readonly address: string;
  readonly zone: string;
  readonly capacityTokens: number;
}

/**
 * Chooses the store VM of a prompt part by rendezvous hashing weighted with capacity. All nodes choose
 * the same one, so that a part can be found without an index that they would have to exchange.
 *
 * @returns undefined without stores
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
    const draw = (computeHash32(`${store.address}/${partKey}`) + 0.5) / MAX_HASH;
    const score = store.capacityTokens / -Math.log(draw);
    if (score > best) {
      best = score;
      chosen = store;
    }
  }
  return chosen;
};

/** Time for which a part that was sent to a store counts as kept there, in milliseconds. */
export const SAVED_PART_MEMORY_MS = 120_000;
/** Parts whose saving is remembered. */
const MAX_SAVED_PARTS = 16_384;

/** Parts that this process had saved, so that they are not sent to their store again and again. */
export class SavedParts {
  private readonly savedMs = BoundedMap.create<string, number>(MAX_SAVED_PARTS);

  static create(): SavedParts {
    return new SavedParts();
  }

  recordSaved(storeAddress: string, partKey: string, nowMs: number): void {
    this.savedMs.set(`${storeAddress}/${partKey}`, nowMs);
  }

  isSaved(storeAddress: string, partKey: string, nowMs: number): boolean {
    const savedMs = this.savedMs.peek(`${storeAddress}/${partKey}`);
    return savedMs !== undefined && nowMs - savedMs < SAVED_PART_MEMORY_MS;
  }

  /** Forgets what a store had, after it restarted empty. */
  removeStore(storeAddress: string): void {
    for (const key of [...this.savedMs.keys()]) {
      if (key.startsWith(`${storeAddress}/`)) this.savedMs.delete(key);
    }
  }
}
