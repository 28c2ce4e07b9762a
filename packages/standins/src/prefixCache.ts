/** A block of a chain; `identity` is computed by the engine itself, to find wrong keys. */
export interface ChainBlock {
  readonly key: string;
  readonly identity: string;
}

interface CachedBlock extends ChainBlock {
  readonly parentKey: string | undefined;
  readonly depth: number;
  readonly version: string;
  pins: number;
}

export interface PrefixCacheHooks {
  readonly onEvicted: (keys: readonly string[]) => void;
  /** A key was found whose cached block belongs to another prompt, account or version. */
  readonly onWrongBlock: (key: string) => void;
}

/**
 * A bounded cache of prompt blocks that drops the block that was used least recently. Blocks that
 * a running sequence has pinned stay.
 */
export class PrefixCache {
  /** In the order of use, the least recent first. */
  private readonly blocks = new Map<string, CachedBlock>();

  private readonly droppedVersions = new Set<string>();

  private constructor(
    private readonly capacityBlocks: number,
    private readonly hooks: PrefixCacheHooks,
  ) {}

  static create(capacityBlocks: number, hooks: PrefixCacheHooks): PrefixCache {
    return new PrefixCache(capacityBlocks, hooks);
  }

  /** Share of the capacity in use, from 0 to 1. */
  get use(): number {
    return Math.min(1, this.blocks.size / this.capacityBlocks);
  }

  /** Pins the blocks of a chain that are present without a gap and returns their number. */
  takePrefix(chain: readonly ChainBlock[]): number {
    let depth = 0;
    for (const { key, identity } of chain) {
      const block = this.blocks.get(key);
      if (block === undefined) break;
      if (block.identity !== identity) this.hooks.onWrongBlock(key);
      block.pins += 1;
      depth += 1;
    }
    this.markUsed(chain.slice(0, depth));
    return depth;
  }

  /** Adds and pins a block; returns false if the cache is full of pinned blocks. */
  add(chain: readonly ChainBlock[], index: number, version: string): boolean {
    const block = chain[index];
    if (block === undefined || this.droppedVersions.has(version)) return false;
    const existing = this.blocks.get(block.key);
    if (existing !== undefined) {
      existing.pins += 1;
      return true;
    }
    if (this.blocks.size >= this.capacityBlocks && !this.evictOne()) return false;
    const parentKey = chain[index - 1]?.key;
    this.blocks.set(block.key, { ...block, parentKey, depth: index + 1, version, pins: 1 });
    return true;
  }

  /** Releases the first `depth` blocks of a chain, which one sequence had pinned. */
  releasePrefix(chain: readonly ChainBlock[], depth: number): void {
    const released = chain.slice(0, depth);
    for (const { key } of released) {
      const block = this.blocks.get(key);
      if (block !== undefined) block.pins -= 1;
    }
    this.markUsed(released);
    this.removeDropped();
  }

  /** Returns the keys of a chain from its first block to its tail, or undefined on a gap. */
  getChainKeys(tailKey: string, depth: number): string[] | undefined {
    const keys: string[] = [];
    let block = this.blocks.get(tailKey);
    if (block?.depth !== depth) return undefined;
    while (block !== undefined) {
      keys.push(block.key);
      block = block.parentKey === undefined ? undefined : this.blocks.get(block.parentKey);
    }
    return keys.length === depth ? keys.reverse() : undefined;
  }

  /** Removes the blocks of a weight version as soon as no sequence uses them. */
  dropVersion(version: string): void {
    this.droppedVersions.add(version);
    this.removeDropped();
  }

  /** Allows blocks of a weight version again, after it was loaded. */
  addVersion(version: string): void {
    this.droppedVersions.delete(version);
  }

  /** Marks blocks as used, the first last, so that eviction takes the ends of chains first. */
  private markUsed(chain: readonly ChainBlock[]): void {
    for (const { key } of [...chain].reverse()) {
      const block = this.blocks.get(key);
      if (block === undefined) continue;
      this.blocks.delete(key);
      this.blocks.set(key, block);
    }
  }

  private evictOne(): boolean {
    for (const block of this.blocks.values()) {
      if (block.pins > 0) continue;
      this.blocks.delete(block.key);
      this.hooks.onEvicted([block.key]);
      return true;
    }
    return false;
  }

  private removeDropped(): void {
    if (this.droppedVersions.size === 0) return;
    const keys: string[] = [];
    for (const block of this.blocks.values()) {
      if (block.pins === 0 && this.droppedVersions.has(block.version)) keys.push(block.key);
    }
    for (const key of keys) this.blocks.delete(key);
    if (keys.length > 0) this.hooks.onEvicted(keys);
  }
}
