import { setTimeout as waitMs } from 'node:timers/promises';
import { getErrorMessage, getRendezvousOwners } from '@lovagearch/common';
import type { CacheStore } from '@lovagearch/traffic';
import { STORE_PREFIX } from './beliefs.js';
import {
  HOUSEKEEPING_MS,
  MAX_FREED_PARTS,
  OLD_PARTS_FREE_MS,
  STORE_DOWN_FAILURES,
  STORE_EVENT_PACE_MS,
  STORE_EVENT_WAIT_MS,
  STORE_RETRY_MS,
  STORE_WATCHERS,
} from './constants.js';
import type { GatewayContext } from './gatewayContext.js';
import { parseSaltVersion } from './reusePlan.js';
import type { CacheStoreClient, SharedTable, StoredPart } from './types.js';

interface WatchedStore {
  store: CacheStore;
  next: number;
  epoch: number;
  failures: number;
  isUp: boolean | undefined;
  /** Complete parts by salt and id. */
  readonly parts: Map<string, StoredPart>;
  isRunning: boolean;
}

const getPartKey = ({ salt, id }: StoredPart) => `${salt}/${id}`;

/**
 * Watches some store VMs on behalf of all nodes: tells when one is down or has restarted empty, and
 * frees the parts of weights that no endpoint uses any more. Each store has a few watchers, so that
 * their number doesn't grow with the nodes.
 */
export class StoreWatch {
  private readonly watched = new Map<string, WatchedStore>();

  /** Clock reading since which all endpoints have at least a version, by model. */
  private readonly settledMs = new Map<string, { version: number; sinceMs: number }>();

  private isStopped = false;

  private constructor(
    private readonly context: GatewayContext,
    private readonly client: CacheStoreClient,
    private readonly shared: SharedTable,
  ) {}

  static create(
    context: GatewayContext,
    client: CacheStoreClient,
    shared: SharedTable,
  ): StoreWatch {
    return new StoreWatch(context, client, shared);
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Starts and ends watching as the stores and the nodes change. Runs until `stop` is called. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      await waitMs(HOUSEKEEPING_MS);
      this.updateSettled();
      const own = this.selectOwnStores();
      for (const [address, watched] of this.watched) {
        if (!own.has(address)) {
          watched.isRunning = false;
          this.watched.delete(address);
        }
      }
      for (const [address, store] of own) {
        const known = this.watched.get(address);
        if (known !== undefined) known.store = store;
        else this.startWatching(store);
      }
    }
  }

  private selectOwnStores(): Map<string, CacheStore> {
    const { beliefs, settings } = this.context;
    const own = new Map<string, CacheStore>();
    for (const store of beliefs.rules?.cacheStores ?? []) {
      // Nodes of the store's zone come first, to keep events off the links between zones.
      const near = beliefs.listPeerNames(store.zone);
      const candidates = near.length > 0 ? near : beliefs.listPeerNames(undefined);
      const count = Math.min(STORE_WATCHERS, store.maxEventCalls);
      const watchers = getRendezvousOwners(store.address, candidates, count);
      if (watchers.includes(settings.nodeName)) own.set(store.address, store);
    }
    return own;
  }

  private startWatching(store: CacheStore): void {
    const watched: WatchedStore = {
      store,
      next: 0,
      epoch: 0,
      failures: 0,
      isUp: undefined,
      parts: new Map(),
      isRunning: true,
    };
    this.watched.set(store.address, watched);
    this.follow(watched).catch((error: unknown) => {
      this.context.log.recordProblem('store_watch_failed', { reason: getErrorMessage(error) });
      this.watched.delete(store.address);
    });
  }

  private async follow(watched: WatchedStore): Promise<void> {
    const { clock } = this.context;
    while (watched.isRunning && !this.isStopped) {
      const startMs = clock.nowMs();
      const { address } = watched.store;
      const events = await this.client.readEvents(address, watched.next, STORE_EVENT_WAIT_MS);
      if (!watched.isRunning) return;
      if (events === undefined) {
        watched.failures += 1;
        if (watched.failures === STORE_DOWN_FAILURES) await this.publish(watched, false);
        await waitMs(STORE_RETRY_MS);
        continue;
      }
      watched.failures = 0;
      if (events.epoch !== watched.epoch) {
        watched.epoch = events.epoch;
        watched.parts.clear();
        watched.next = 0;
        await this.publish(watched, true);
        continue;
      }
      if (watched.isUp !== true) await this.publish(watched, true);
      watched.next = events.next;
      for (const { isAdded, part } of events.events) {
        if (isAdded) watched.parts.set(getPartKey(part), part);
        else watched.parts.delete(getPartKey(part));
      }
      await this.freeOldParts(watched);
      const pauseMs = STORE_EVENT_PACE_MS - (clock.nowMs() - startMs);
      if (pauseMs > 0) await waitMs(pauseMs);
    }
  }

  private async publish(watched: WatchedStore, isUp: boolean): Promise<void> {
    watched.isUp = isUp;
    const { address } = watched.store;
    const { beliefs } = this.context;
    const known = beliefs.findStoreState(address);
    // The other watcher of the store may have said the same.
    if (known?.isUp === isUp && known.epoch === watched.epoch) return;
    beliefs.recordStoreState(address, { isUp, epoch: watched.epoch });
    await this.shared.write(`${STORE_PREFIX}${address}`, { isUp, epoch: watched.epoch });
  }

  /** Records since when no endpoint has weights older than the newest that were named. */
  private updateSettled(): void {
    const { beliefs, clock } = this.context;
    const nowMs = clock.nowMs();
    for (const { model, version } of beliefs.listWeightTargets()) {
      let isSettled = true;
      for (const { record } of beliefs.endpoints.listAll()) {
        const own = record.weights.get(model);
        if (own !== undefined && own < version) isSettled = false;
      }
      const known = this.settledMs.get(model);
      if (!isSettled) this.settledMs.delete(model);
      else if (known?.version !== version) this.settledMs.set(model, { version, sinceMs: nowMs });
    }
  }

  /**
   * Frees parts of replaced weights. No request reads them any more: endpoints run none that expects
   * those weights, and nodes name parts of the newest weights only.
   */
  private async freeOldParts(watched: WatchedStore): Promise<void> {
    const { store, parts, epoch } = watched;
    if (!store.isManaged) return;
    const nowMs = this.context.clock.nowMs();
    const old: StoredPart[] = [];
    for (const part of parts.values()) {
      const settled = this.settledMs.get(part.model);
      const version = parseSaltVersion(part.salt);
      if (settled === undefined || version === undefined || version >= settled.version) continue;
      if (nowMs - settled.sinceMs < OLD_PARTS_FREE_MS) continue;
      old.push(part);
      if (old.length >= MAX_FREED_PARTS) break;
    }
    if (old.length === 0) return;
    const isFreed = await this.client.freeParts(store.address, old, epoch);
    if (isFreed) for (const part of old) parts.delete(getPartKey(part));
    this.context.log.recordChange('old_parts_freed', {
      store: store.address,
      parts: old.length,
      isFreed,
      epoch,
    });
  }
}
