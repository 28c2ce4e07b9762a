import type { Clock, EndpointId, Logger, NodeId, Region } from '@lovagearch/common';
import type { PeerMesh } from '@lovagearch/peering';
import { SegmentCatalog } from '@lovagearch/reuse';
import type { StoreClient } from '@lovagearch/store-client';
import {
  importedSegmentSchema,
  INDEX_TOPICS,
  storedSegmentSchema,
  type StoredSegmentMessage,
} from './promptIndexMessages.js';
import type { DistributedPromptIndex } from './distributedPromptIndex.js';
import type { EndpointDirectory, NodeComponent, StoreView } from './types.js';

/** Interval between status checks of the store VMs that this node watches. */
const STORE_CHECK_INTERVAL_MS = 2_000;

export interface StoreEvictorOptions {
  readonly mesh: PeerMesh;
  readonly stores: StoreClient;
  readonly index: DistributedPromptIndex;
  readonly directory: EndpointDirectory;
  readonly clock: Clock;
  readonly log: Logger;
  readonly listRegions: () => readonly Region[];
  readonly getWatchers: (endpoint: EndpointId) => readonly NodeId[];
  /** Time after which an unused segment has no more value, in milliseconds. */
  readonly retentionMs: number;
}

interface WatchedStore {
  catalog: SegmentCatalog;
  boot: string;
  usedBytes: number;
  capacityBytes: number;
  segments: number;
}

/** Storage usage of a store VM, for the administration API. */
export interface StoreUsage {
  readonly id: EndpointId;
  readonly usedBytes: number;
  readonly capacityBytes: number;
  readonly segments: number;
}

/**
 * Manages the store VMs for which this node is the first watcher: evicts segments when a VM is nearly
 * full and removes the locations of a VM that has restarted from the prompt index.
 */
export class StoreEvictor implements NodeComponent {
  private readonly storesById = new Map<string, WatchedStore>();

  private readonly checkTimer: NodeJS.Timeout;

  private isChecking = false;

  private constructor(private readonly options: StoreEvictorOptions) {
    const { mesh } = options;
    mesh.registerHandler(INDEX_TOPICS.stored, storedSegmentSchema, (_from, stored) => {
      this.recordStoredSegment(stored);
    });
    mesh.registerHandler(
      INDEX_TOPICS.imported,
      importedSegmentSchema,
      (_from, { store, segmentId }) => {
        this.storesById.get(store)?.catalog.recordUse(segmentId, options.clock.nowMs());
      },
    );
    this.checkTimer = setInterval(() => {
      this.checkStores().catch(() => options.log.error('Checking the store VMs failed.'));
    }, STORE_CHECK_INTERVAL_MS);
    this.checkTimer.unref();
  }

  static create(options: StoreEvictorOptions): StoreEvictor {
    return new StoreEvictor(options);
  }

  readonly stop = async (): Promise<void> => {
    clearInterval(this.checkTimer);
  };

  /** Lists the storage usage of the store VMs that this node watches. */
  listUsage(): StoreUsage[] {
    return [...this.storesById].map(([id, { usedBytes, capacityBytes, segments }]) => ({
      id: id as EndpointId,
      usedBytes,
      capacityBytes,
      segments,
    }));
  }

  private recordStoredSegment({ store, ...segment }: StoredSegmentMessage): void {
    this.getOrAddStore(store).catalog.add({ ...segment, usedAtMs: this.options.clock.nowMs() });
  }

  private getOrAddStore(id: string): WatchedStore {
    const known = this.storesById.get(id);
    if (known !== undefined) return known;
    const created: WatchedStore = {
      catalog: SegmentCatalog.create(this.options.retentionMs),
      boot: '',
      usedBytes: 0,
      capacityBytes: 0,
      segments: 0,
    };
    this.storesById.set(id, created);
    return created;
  }

  private async checkStores(): Promise<void> {
    if (this.isChecking) return;
    this.isChecking = true;
    try {
      for (const region of this.options.listRegions()) {
        for (const store of this.options.directory.listStores(region)) {
          const isFirstWatcher = this.options.getWatchers(store.id)[0] === this.options.mesh.self;
          if (isFirstWatcher) await this.checkStore(store);
        }
      }
    } finally {
      this.isChecking = false;
    }
  }

  private async checkStore(store: StoreView): Promise<void> {
    const status = await this.options.stores.readStatus(store.url);
    if (status.isErr()) return;
    const watched = this.getOrAddStore(store.id);
    const { boot, usedBytes, capacityBytes, segments } = status.value;
    if (watched.boot !== '' && watched.boot !== boot) {
      this.options.log.warn(`Store VM ${store.id} has restarted and lost its segments.`);
      this.options.index.removeHolder(store.region, store.id);
      watched.catalog = SegmentCatalog.create(this.options.retentionMs);
    }
    Object.assign(watched, { boot, usedBytes, capacityBytes, segments });
    const evictions = watched.catalog.chooseEvictions(
      usedBytes,
      capacityBytes,
      this.options.clock.nowMs(),
    );
    for (const { segmentId, anchor } of evictions) {
      // The segment leaves the index first, so that no new request is sent to import it.
      this.options.index.remove(anchor, store.region, store.id, segmentId);
      const removed = await this.options.stores.remove(store.url, segmentId);
      if (removed.isOk()) watched.catalog.remove(segmentId);
    }
  }
}
