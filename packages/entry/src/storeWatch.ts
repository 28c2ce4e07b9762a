import type { Clock, EndpointId, Logger, NodeId, Region } from '@lovagearch/common';
import type { PeerMesh } from '@lovagearch/peering';
import { SegmentCatalog } from '@lovagearch/reuse';
import type { StoreClient } from '@lovagearch/store-client';
import { importedSchema, INDEX_TOPICS, storedSchema, type Stored } from './promptIndexMessages.js';
import type { PromptIndexNode } from './promptIndexNode.js';
import type { EndpointDirectory, NodePart, StoreView } from './types.js';

/** Interval between status checks of the store VMs that this node watches. */
const CHECK_INTERVAL_MS = 2_000;

export interface StoreWatchOptions {
  readonly mesh: PeerMesh;
  readonly stores: StoreClient;
  readonly index: PromptIndexNode;
  readonly directory: EndpointDirectory;
  readonly clock: Clock;
  readonly log: Logger;
  readonly listRegions: () => readonly Region[];
  readonly getWatchers: (endpoint: EndpointId) => readonly NodeId[];
  /** Time after which an unused segment has no more value, in milliseconds. */
  readonly retentionMs: number;
}

interface WatchedStore {
  ledger: SegmentCatalog;
  boot: string;
  usedBytes: number;
  capacityBytes: number;
  segments: number;
}

/** Storage usage of a store VM, for the administration API. */
export interface StoreFill {
  readonly id: EndpointId;
  readonly usedBytes: number;
  readonly capacityBytes: number;
  readonly segments: number;
}

/**
 * Manages the store VMs for which this node is the first watcher: evicts segments when a VM is nearly
 * full and removes the locations of a VM that has restarted from the prompt index.
 */
export class StoreWatch implements NodePart {
  private readonly watched = new Map<string, WatchedStore>();

  private readonly timer: NodeJS.Timeout;

  private isChecking = false;

  private constructor(private readonly options: StoreWatchOptions) {
    const { mesh } = options;
    mesh.registerHandler(INDEX_TOPICS.stored, storedSchema, (_from, stored) => {
      this.recordStored(stored);
    });
    mesh.registerHandler(INDEX_TOPICS.imported, importedSchema, (_from, { store, segmentId }) => {
      this.watched.get(store)?.ledger.recordUse(segmentId, options.clock.nowMs());
    });
    this.timer = setInterval(() => {
      this.checkStores().catch(() => options.log.error('Checking the store VMs failed.'));
    }, CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  static create(options: StoreWatchOptions): StoreWatch {
    return new StoreWatch(options);
  }

  readonly stop = async (): Promise<void> => {
    clearInterval(this.timer);
  };

  /** Lists the storage usage of the store VMs that this node watches. */
  listFills(): StoreFill[] {
    return [...this.watched].map(([id, { usedBytes, capacityBytes, segments }]) => ({
      id: id as EndpointId,
      usedBytes,
      capacityBytes,
      segments,
    }));
  }

  private recordStored({ store, ...segment }: Stored): void {
    this.getWatched(store).ledger.add({ ...segment, usedAtMs: this.options.clock.nowMs() });
  }

  private getWatched(id: string): WatchedStore {
    const known = this.watched.get(id);
    if (known !== undefined) return known;
    const created: WatchedStore = {
      ledger: SegmentCatalog.create(this.options.retentionMs),
      boot: '',
      usedBytes: 0,
      capacityBytes: 0,
      segments: 0,
    };
    this.watched.set(id, created);
    return created;
  }

  private async checkStores(): Promise<void> {
    if (this.isChecking) return;
    this.isChecking = true;
    try {
      for (const region of this.options.listRegions()) {
        for (const store of this.options.directory.listStores(region)) {
          const isFirst = this.options.getWatchers(store.id)[0] === this.options.mesh.self;
          if (isFirst) await this.checkStore(store);
        }
      }
    } finally {
      this.isChecking = false;
    }
  }

  private async checkStore(store: StoreView): Promise<void> {
    const status = await this.options.stores.readStatus(store.url);
    if (status.isErr()) return;
    const watched = this.getWatched(store.id);
    const { boot, usedBytes, capacityBytes, segments } = status.value;
    if (watched.boot !== '' && watched.boot !== boot) {
      this.options.log.warn(`Store VM ${store.id} has restarted and lost its segments.`);
      this.options.index.removeHolder(store.region, store.id);
      watched.ledger = SegmentCatalog.create(this.options.retentionMs);
    }
    Object.assign(watched, { boot, usedBytes, capacityBytes, segments });
    const drops = watched.ledger.chooseEvictions(
      usedBytes,
      capacityBytes,
      this.options.clock.nowMs(),
    );
    for (const { segmentId, anchor } of drops) {
      // The segment leaves the index first, so that no new request is sent to import it.
      this.options.index.remove(anchor, store.region, store.id, segmentId);
      const removed = await this.options.stores.remove(store.url, segmentId);
      if (removed.isOk()) watched.ledger.remove(segmentId);
    }
  }
}
