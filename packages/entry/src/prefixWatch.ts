import {
  assertNever,
  getErrorMessage,
  type Clock,
  type EndpointId,
  type Logger,
  type NodeId,
  type Region,
  MS_PER_SECOND,
  TOKENS_PER_BLOCK,
} from '@lovagearch/common';
import type { CacheEvent, EngineAddress, EngineClient } from '@lovagearch/engine-client';
import type { PeerMesh } from '@lovagearch/peering';
import { PrefixCatalog, ReuseHistory, type CatalogPrefix } from '@lovagearch/reuse';
import { INDEX_TOPICS, placedSchema, type Placed, type Stored } from './promptIndexMessages.js';
import type { PromptIndexNode } from './promptIndexNode.js';
import type { CacheEventBatch } from './nodeCacheEvents.js';
import type { EndpointDirectory, EndpointView, NodePart, StoreView } from './types.js';

/** Interval between searches for prefixes to export. */
const EXPORT_INTERVAL_MS = 200;
/**
 * Share of the bandwidth to the store VMs that exports may use. The rest is left to imports, which
 * delay the first token of a request.
 */
const EXPORT_LINK_SHARE = 0.5;
/**
 * Maximum concurrent exports from one runner. The bandwidth budget is the effective limit: with one
 * export per interval, prompts of large accounts were evicted before they were exported.
 */
const MAX_EXPORTS_PER_RUNNER = 4;
/** Maximum time for which unused export budget accumulates. */
const BUDGET_BURST_SECONDS = 2;

export interface PrefixWatchOptions {
  readonly mesh: PeerMesh;
  readonly engine: EngineClient;
  readonly index: PromptIndexNode;
  readonly directory: EndpointDirectory;
  readonly clock: Clock;
  readonly log: Logger;
  /** False when a routing policy that uses no store VMs is benchmarked. */
  readonly hasExports: boolean;
  readonly getAddress: (endpoint: EndpointView) => EngineAddress;
  readonly getWatchers: (endpoint: EndpointId) => readonly NodeId[];
  readonly listRegionMembers: (region: Region) => readonly NodeId[];
  /** Bandwidth to the store VMs and KV cache size of a service, or undefined if it isn't configured. */
  readonly getStoreSpeeds: (
    service: string,
  ) => { readonly storeBytesPerSecond: number; readonly kvBytesPerToken: number } | undefined;
}

interface WatchedRunner {
  readonly catalog: PrefixCatalog;
  /** Tail keys of the prefixes that are being exported. */
  readonly exporting: Set<string>;
}

/** Chooses a live store VM by hash: segments are spread evenly, and all nodes choose the same VM. */
const chooseStore = (stores: readonly StoreView[], tailKey: string): StoreView | undefined => {
  const live = stores.filter(({ isLive }) => isLive);
  if (live.length === 0) return undefined;
  return live[parseInt(tailKey.slice(0, 8), 16) % live.length];
};

/**
 * Manages the cached prefixes of the runners for which this node is the first watcher: catalogs them,
 * exports them to store VMs before they are evicted, and removes evicted ones from the prompt index.
 */
export class PrefixWatch implements NodePart {
  private readonly runners = new Map<EndpointId, WatchedRunner>();

  private readonly history = ReuseHistory.create();

  private readonly timer: NodeJS.Timeout;

  private budgetBytes = 0;

  private budgetAtMs: number;

  private constructor(private readonly options: PrefixWatchOptions) {
    this.budgetAtMs = options.clock.nowMs();
    options.mesh.registerHandler(INDEX_TOPICS.placed, placedSchema, (_from, placed) => {
      this.recordPlaced(placed);
    });
    this.timer = setInterval(() => this.startExports(), EXPORT_INTERVAL_MS);
    this.timer.unref();
  }

  static create(options: PrefixWatchOptions): PrefixWatch {
    return new PrefixWatch(options);
  }

  readonly stop = async (): Promise<void> => {
    clearInterval(this.timer);
  };

  /** Records that a runner has cached the prefix of a request. */
  recordPlaced(placed: Placed): void {
    const runner = this.getRunner(placed.runner as EndpointId);
    runner?.catalog.add(placed, this.options.clock.nowMs());
  }

  /**
   * Applies the cache events of a runner. After a gap the catalog may contain evicted prefixes; the
   * index is corrected when a request is routed to such a prefix.
   */
  applyCacheEvents(id: EndpointId, batch: CacheEventBatch): void {
    const runner = this.getRunner(id);
    const region = this.options.directory.getEndpoint(id)?.region;
    if (runner === undefined || region === undefined) return;
    switch (batch.type) {
      case 'events':
        for (const event of batch.events) this.applyCacheEvent(id, region, runner, event);
        return;
      case 'new_boot':
        if (batch.previous === undefined) return;
        runner.catalog.removeAll();
        this.options.index.removeHolder(region, id);
        return;
      case 'gap':
        return;
      default:
        assertNever(batch);
    }
  }

  private applyCacheEvent(
    id: EndpointId,
    region: Region,
    runner: WatchedRunner,
    event: CacheEvent,
  ): void {
    if (event.type !== 'evicted') return;
    for (const prefix of runner.catalog.removeEvicted(event.keys)) {
      this.options.index.remove(prefix.anchor, region, id, prefix.tailKey);
    }
  }

  private getRunner(id: EndpointId): WatchedRunner | undefined {
    const known = this.runners.get(id);
    if (known !== undefined) return known;
    if (this.options.directory.getEndpoint(id) === undefined) return undefined;
    const created = {
      catalog: PrefixCatalog.create(this.history),
      boot: '',
      exporting: new Set<string>(),
    };
    this.runners.set(id, created);
    return created;
  }

  private startExports(): void {
    if (!this.options.hasExports) return;
    for (const [id, runner] of this.runners) {
      const endpoint = this.options.directory.getEndpoint(id);
      if (endpoint === undefined) {
        this.runners.delete(id);
        continue;
      }
      const isFirstWatcher = this.options.getWatchers(id)[0] === this.options.mesh.self;
      if (!isFirstWatcher || endpoint.state === 'dead') continue;
      while (runner.exporting.size < MAX_EXPORTS_PER_RUNNER) {
        const prefix = runner.catalog.chooseExport(endpoint.load.cacheUse);
        if (prefix === undefined || !this.startExport(endpoint, runner, prefix)) break;
      }
    }
  }

  /** Starts an export; returns false if no store VM is live or the budget is used up. */
  private startExport(
    endpoint: EndpointView,
    runner: WatchedRunner,
    prefix: CatalogPrefix,
  ): boolean {
    const speeds = this.options.getStoreSpeeds(endpoint.service);
    const stores = this.options.directory.listStores(endpoint.region);
    const store = chooseStore(stores, prefix.tailKey);
    if (speeds === undefined || store === undefined) return false;
    const bytes = prefix.depth * TOKENS_PER_BLOCK * speeds.kvBytesPerToken;
    if (!this.tryTakeBudget(endpoint.region, bytes, speeds.storeBytesPerSecond)) return false;
    runner.exporting.add(prefix.tailKey);
    runner.catalog.updateExportState(prefix.tailKey, 'exporting');
    this.exportPrefix(endpoint, runner, prefix, store)
      .catch((error: unknown) => {
        runner.catalog.updateExportState(prefix.tailKey, 'none');
        this.options.log.error(`Prefix export failed: ${getErrorMessage(error)}.`);
      })
      .finally(() => {
        runner.exporting.delete(prefix.tailKey);
      });
    return true;
  }

  private async exportPrefix(
    endpoint: EndpointView,
    runner: WatchedRunner,
    prefix: CatalogPrefix,
    store: StoreView,
  ): Promise<void> {
    const { tailKey, depth } = prefix;
    const result = await this.options.engine.exportSegment(this.options.getAddress(endpoint), {
      tailKey,
      depth,
      target: store.url,
    });
    if (result.isErr()) {
      runner.catalog.updateExportState(tailKey, 'none');
      const isEvicted = result.error.type === 'refused' && result.error.status === 404;
      if (!isEvicted) {
        this.options.log.warn(
          `Prefix export from ${endpoint.id} to ${store.id} failed: ${result.error.type}.`,
        );
        return;
      }
      runner.catalog.removeEvicted([tailKey]);
      this.options.index.remove(prefix.anchor, endpoint.region, endpoint.id, tailKey);
      return;
    }
    const { segmentId, sha256, bytes } = result.value;
    runner.catalog.updateExportState(tailKey, 'stored');
    this.options.index.report(prefix.anchor, {
      kind: 'store',
      holder: store.id,
      region: store.region,
      depth,
      tailKey: segmentId,
      sha256,
      boot: '',
    });
    const stored: Stored = {
      store: store.id,
      segmentId,
      anchor: prefix.anchor,
      bytes,
      depth,
      returnChance: this.history.computeReuseProbability(prefix.account, prefix.uses),
    };
    for (const watcher of this.options.getWatchers(store.id)) {
      this.options.mesh.send(watcher, INDEX_TOPICS.stored, stored);
    }
  }

  /** Takes bytes from the export budget; the nodes of a region share the bandwidth equally. */
  private tryTakeBudget(region: Region, bytes: number, bytesPerSecond: number): boolean {
    const nowMs = this.options.clock.nowMs();
    const nodes = Math.max(1, this.options.listRegionMembers(region).length);
    const share = (bytesPerSecond * EXPORT_LINK_SHARE) / nodes;
    const earned = ((nowMs - this.budgetAtMs) * share) / MS_PER_SECOND;
    this.budgetBytes = Math.min(share * BUDGET_BURST_SECONDS, this.budgetBytes + earned);
    this.budgetAtMs = nowMs;
    // A prefix larger than the burst is exported once the budget is full, which leaves it negative.
    const isFull = this.budgetBytes >= share * BUDGET_BURST_SECONDS;
    if (this.budgetBytes < bytes && !isFull) return false;
    this.budgetBytes -= bytes;
    return true;
  }
}
