import { BoundedMap } from '@lovagearch/common';
import { MAX_ANCHORS_PER_SHARD, MAX_LOCATIONS_PER_ANCHOR } from './constants.js';
import type { Location } from './locations.js';

const isSameLocation = (a: Location, b: Location): boolean =>
  a.holder === b.holder && a.tailKey === b.tailKey;

/**
 * The part of the prompt index that one node owns: locations by anchor. Entries are hints that may
 * be outdated; the least recently used anchors are evicted when the shard is full.
 *
 * @example
 * const shard = IndexShard.create();
 * shard.add(anchorKey, location);
 * shard.get(anchorKey); // [location]
 */
export class IndexShard {
  private readonly locationsByAnchor: BoundedMap<string, readonly Location[]>;

  private constructor(capacity: number) {
    this.locationsByAnchor = BoundedMap.create(capacity);
  }

  static create(capacity: number = MAX_ANCHORS_PER_SHARD): IndexShard {
    return new IndexShard(capacity);
  }

  get size(): number {
    return this.locationsByAnchor.size;
  }

  get(anchor: string): readonly Location[] {
    return this.locationsByAnchor.get(anchor) ?? [];
  }

  /**
   * Inserts a location at the front, replacing an earlier report of the same holder and tail key.
   */
  add(anchor: string, location: Location): void {
    const others = this.get(anchor).filter((known) => !isSameLocation(known, location));
    const kept = [location, ...others].slice(0, MAX_LOCATIONS_PER_ANCHOR);
    this.locationsByAnchor.set(anchor, kept);
  }

  /** Removes the location that a holder reported for a tail key. */
  remove(anchor: string, holder: string, tailKey: string): void {
    const known = this.locationsByAnchor.peek(anchor);
    if (known === undefined) return;
    const kept = known.filter(
      (location) => location.holder !== holder || location.tailKey !== tailKey,
    );
    if (kept.length === 0) this.locationsByAnchor.delete(anchor);
    else this.locationsByAnchor.set(anchor, kept);
  }

  /** Removes every location of a holder that is gone or restarted. */
  removeHolder(holder: string): void {
    for (const [anchor, locations] of [...this.locationsByAnchor]) {
      const kept = locations.filter((location) => location.holder !== holder);
      if (kept.length === locations.length) continue;
      if (kept.length === 0) this.locationsByAnchor.delete(anchor);
      else this.locationsByAnchor.set(anchor, kept);
    }
  }

  /** Lists all entries, for the handover to new owners of the shard's anchors. */
  list(): { readonly anchor: string; readonly locations: readonly Location[] }[] {
    return [...this.locationsByAnchor].map(([anchor, locations]) => ({ anchor, locations }));
  }
}
