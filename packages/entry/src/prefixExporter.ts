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
import {
  INDEX_TOPICS,
  placementSchema,
  type PlacementMessage,
  type StoredSegmentMessage,
} from './promptIndexMessages.js';
import type { DistributedPromptIndex } from './distributedPromptIndex.js';
import type { CacheEventBatch } from './cacheEventReader.js';
import type { EndpointDirectory, EndpointView, NodeComponent, StoreView } from './types.js';

/** Interval between searches for prefixes to export. */
const EXPORT_CHECK_INTERVAL_MS = 200;
/**
 * Share of the bandwidth to the store VMs that exports may use. The rest is left to imports, which
 * delay the first token of a request.
 */
const EXPORT_BANDWIDTH_SHARE = 0.5;
/**
 * Maximum concurrent exports from one runner. The bandwidth budget is the effective limit: with one
 * export per interval, prompts of large accounts were evicted before they were exported.
 */
const MAX_EXPORTS_PER_RUNNER = 4;
/** Maximum time for which unused export budget accumulates. */
const BUDGET_BURST_SECONDS = 2;

export interface PrefixExporterOptions {
  readonly mesh: PeerMesh;
  readonly engine: EngineClient;
  readonly index: DistributedPromptIndex;
  readonly directory: EndpointDirectory;
  readonly clock: Clock;
  readonly log: Logger;
  /** False when a routing policy that uses no store VMs is benchmarked. */
  readonly isExportEnabled: boolean;
  readonly getAddress: (endpoint: EndpointView) => EngineAddress;
  readonly getWatchers: (endpoint: EndpointId) => readonly NodeId[];
  readonly listRegionMembers: (region: Region) => readonly NodeId[];
  /** Bandwidth to the store VMs and KV cache size of a service, or undefined if it isn't configured. */
  readonly getStoreTransferRate: (
    service: string,
  ) => { readonly storeBytesPerSecond: number; readonly kvBytesPerToken: number } | undefined;
}

interface WatchedRunner {
  readonly catalog: PrefixCatalog;
  /** Tail keys of the prefixes that are being exported. */
  readonly pendingExports: Set<string>;
}

/** Chooses a live store VM by hash: segments are spread evenly, and all nodes choose the same VM. */
const chooseStore = (stores: readonly StoreView[], tailKey: string): StoreView | undefined => {
  const liveStores = stores.filter(({ isLive }) => isLive);
  if (liveStores.length === 0) return undefined;
  return liveStores[parseInt(tailKey.slice(0, 8), 16) % liveStores.length];
};

/**
 * Manages the cached prefixes of the runners for which this node is the first watcher: catalogs them,
 * exports them to store VMs before they are evicted, and removes evicted ones from the prompt index.
 */
export class PrefixExporter implements NodeComponent {
  private readonly runners = new Map<EndpointId, WatchedRunner>();

  private readonly reuseHistory = ReuseHistory.create();

  private readonly exportTimer: NodeJS.Timeout;

  private exportBudgetBytes = 0;

  private budgetUpdatedAtMs: number;

  private constructor(private readonly options: PrefixExporterOptions) {
    this.budgetUpdatedAtMs = options.clock.nowMs();
    options.mesh.registerHandler(INDEX_TOPICS.placed, placementSchema, (_from, placed) => {
      this.recordPlacement(placed);
    });
    this.exportTimer = setInterval(() => this.startExports(), EXPORT_CHECK_INTERVAL_MS);
    this.exportTimer.unref();
  }

  static create(options: PrefixExporterOptions): PrefixExporter {
    return new PrefixExporter(options);
  }

  readonly stop = async (): Promise<void> => {
    clearInterval(this.exportTimer);
  };

  /** Records that a runner has cached the prefix of a request. */
  recordPlacement(placed: PlacementMessage): void {
    const runner = this.getOrAddRunner(placed.runner as EndpointId);
    runner?.catalog.add(placed, this.options.clock.nowMs());
  }

  /**
   * Applies the cache events of a runner. After a gap the catalog may contain evicted prefixes; the
   * index is corrected when a request is routed to such a prefix.
   */
  applyCacheEvents(id: EndpointId, batch: CacheEventBatch): void {
    const runner = this.getOrAddRunner(id);
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

  private getOrAddRunner(id: EndpointId): WatchedRunner | undefined {
    const known = this.runners.get(id);
    if (known !== undefined) return known;
    if (this.options.directory.getEndpoint(id) === undefined) return undefined;
    const created = {
      catalog: PrefixCatalog.create(this.reuseHistory),
      boot: '',
      pendingExports: new Set<string>(),
    };
    this.runners.set(id, created);
    return created;
  }

  private startExports(): void {
    if (!this.options.isExportEnabled) return;
    for (const [id, runner] of this.runners) {
      const endpoint = this.options.directory.getEndpoint(id);
      if (endpoint === undefined) {
        this.runners.delete(id);
        continue;
      }
      const isFirstWatcher = this.options.getWatchers(id)[0] === this.options.mesh.self;
      if (!isFirstWatcher || endpoint.state === 'dead') continue;
      while (runner.pendingExports.size < MAX_EXPORTS_PER_RUNNER) {
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
    const transferRate = this.options.getStoreTransferRate(endpoint.service);
    const stores = this.options.directory.listStores(endpoint.region);
    const store = chooseStore(stores, prefix.tailKey);
    if (transferRate === undefined || store === undefined) return false;
    const sizeBytes = prefix.depth * TOKENS_PER_BLOCK * transferRate.kvBytesPerToken;
    if (!this.tryTakeExportBudget(endpoint.region, sizeBytes, transferRate.storeBytesPerSecond))
      return false;
    runner.pendingExports.add(prefix.tailKey);
    runner.catalog.updateExportState(prefix.tailKey, 'exporting');
    this.exportPrefix(endpoint, runner, prefix, store)
      .catch((error: unknown) => {
        runner.catalog.updateExportState(prefix.tailKey, 'none');
        this.options.log.error(`Prefix export failed: ${getErrorMessage(error)}.`);
      })
      .finally(() => {
        runner.pendingExports.delete(prefix.tailKey);
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
    const stored: StoredSegmentMessage = {
      store: store.id,
      segmentId,
      anchor: prefix.anchor,
      bytes,
      depth,
      returnChance: this.reuseHistory.computeReuseProbability(prefix.account, prefix.uses),
    };
    for (const watcher of this.options.getWatchers(store.id)) {
      this.options.mesh.send(watcher, INDEX_TOPICS.stored, stored);
    }
  }

  /** Takes bytes from the export budget; the nodes of a region share the bandwidth equally. */
  private tryTakeExportBudget(region: Region, bytes: number, bytesPerSecond: number): boolean {
    const nowMs = this.options.clock.nowMs();
    const nodeCount = Math.max(1, this.options.listRegionMembers(region).length);
    const shareBytesPerSecond = (bytesPerSecond * EXPORT_BANDWIDTH_SHARE) / nodeCount;
    const earnedBytes = ((nowMs - this.budgetUpdatedAtMs) * shareBytesPerSecond) / MS_PER_SECOND;
    this.exportBudgetBytes = Math.min(
      shareBytesPerSecond * BUDGET_BURST_SECONDS,
      this.exportBudgetBytes + earnedBytes,
    );
    this.budgetUpdatedAtMs = nowMs;
    // A prefix larger than the burst is exported once the budget is full, which leaves it negative.
    const isFull = this.exportBudgetBytes >= shareBytesPerSecond * BUDGET_BURST_SECONDS;
    if (this.exportBudgetBytes < bytes && !isFull) return false;
    this.exportBudgetBytes -= bytes;
    return true;
  }
}
