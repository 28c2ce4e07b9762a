import { BoundedMap } from '@lovagearch/common';
import { MIN_EXPORT_CACHE_USE, MAX_PREFIXES_PER_RUNNER, MIN_EXPORT_DEPTH } from './constants.js';
import { ReuseHistory } from './reuseHistory.js';

/** A prefix in one runner's cache, as known to the runner's watcher. */
export interface CatalogPrefix {
  readonly account: string;
  readonly anchor: string;
  readonly tailKey: string;
  readonly depth: number;
  /** Number of requests that used the prefix. */
  readonly uses: number;
  /** Clock reading of the last use, in milliseconds. */
  readonly usedAtMs: number;
  /** `stored`: a store VM of the region holds it; `exporting`: an export is in progress. */
  readonly exportState: 'exporting' | 'none' | 'stored';
}

export interface PlacementReport {
  readonly account: string;
  readonly anchor: string;
  readonly tailKey: string;
  readonly depth: number;
  /** The tail key of the earlier prefix that this request extended, if any. */
  readonly extendedTailKey?: string | undefined;
}

/**
 * The prefixes in one runner's cache, as known to its watcher. Placements reported by entry
 * processes add prefixes, and eviction events of the runner remove them. It also chooses the next
 * export.
 *
 * @example
 * const catalog = PrefixCatalog.create(history);
 * catalog.add(report, clock.nowMs());
 * catalog.chooseExport(load.cacheUse); // the prefix with the highest expected benefit per byte
 */
export class PrefixCatalog {
  private readonly prefixes = BoundedMap.create<string, CatalogPrefix>(MAX_PREFIXES_PER_RUNNER);

  private constructor(private readonly history: ReuseHistory) {}

  static create(history: ReuseHistory): PrefixCatalog {
    return new PrefixCatalog(history);
  }

  get size(): number {
    return this.prefixes.size;
  }

  get(tailKey: string): CatalogPrefix | undefined {
    return this.prefixes.peek(tailKey);
  }

  /** Records that a request left its prefix in the runner's cache. */
  add(report: PlacementReport, nowMs: number): void {
    const { extendedTailKey, ...placement } = report;
    const same = this.prefixes.peek(report.tailKey);
    const extended =
      extendedTailKey === undefined ? undefined : this.prefixes.peek(extendedTailKey);
    const earlier = same ?? extended;
    if (earlier === undefined) this.history.recordPrefix(report.account);
    else this.history.recordReuse(report.account);
    this.prefixes.set(report.tailKey, {
      ...placement,
      uses: (earlier?.uses ?? 0) + 1,
      usedAtMs: nowMs,
      exportState: same?.exportState ?? 'none',
    });
    // The longer prefix contains the shorter one, so only the longer one is worth exporting.
    if (extended !== undefined && extended.tailKey !== report.tailKey) {
      this.prefixes.delete(extended.tailKey);
    }
  }

  /** Removes the prefixes whose last block was evicted and returns them. */
  removeEvicted(keys: readonly string[]): CatalogPrefix[] {
    const removed: CatalogPrefix[] = [];
    for (const key of keys) {
      const prefix = this.prefixes.peek(key);
      if (prefix === undefined) continue;
      removed.push(prefix);
      this.prefixes.delete(key);
    }
    return removed;
  }

  /** Removes and returns all prefixes, after a restart of the runner. */
  removeAll(): CatalogPrefix[] {
    return this.removeEvicted([...this.prefixes.keys()]);
  }

  updateExportState(tailKey: string, exportState: CatalogPrefix['exportState']): void {
    const prefix = this.prefixes.peek(tailKey);
    if (prefix !== undefined) this.prefixes.set(tailKey, { ...prefix, exportState });
  }

  /**
   * Chooses the prefix to export next: the one with the highest expected benefit per byte.
   * Recompute time and size both grow with the depth, so the reuse probability decides. Ties are
   * broken in favour of the least recently used prefix, which is closest to eviction.
   *
   * @param cacheUse share of the runner's cache in use, from 0 to 1
   */
  chooseExport(cacheUse: number): CatalogPrefix | undefined {
    if (cacheUse < MIN_EXPORT_CACHE_USE) return undefined;
    let best: { prefix: CatalogPrefix; probability: number } | undefined;
    for (const prefix of this.prefixes.values()) {
      if (prefix.exportState !== 'none' || prefix.depth < MIN_EXPORT_DEPTH) continue;
      const probability = this.history.computeReuseProbability(prefix.account, prefix.uses);
      const isBetter =
        best === undefined ||
        probability > best.probability ||
        (probability === best.probability && prefix.usedAtMs < best.prefix.usedAtMs);
      if (isBetter) best = { prefix, probability };
    }
    return best?.prefix;
  }
}
