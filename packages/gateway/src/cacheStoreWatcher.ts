import { setTimeout as waitMs } from 'node:timers/promises';
import { type Clock, getErrorMessage, getRendezvousOwners } from '@lovagearch/common';
import type { StoredPart, StoreIndex } from '@lovagearch/reuse';
import type { CacheStore } from '@lovagearch/traffic';
import type { ClusterState } from './clusterState.js';
import {
  HOUSEKEEPING_INTERVAL_MS,
  INDEX_RELAY_INTERVAL_MS,
  MAX_FREED_PARTS_PER_CALL,
  MIN_WATCHERS,
  NODES_PER_WATCHER,
  OLD_PARTS_FREE_DELAY_MS,
  RESERVED_EVENT_CALLS,
  MAX_FULL_RATE_NODES,
} from './constants.js';
import type { GatewayLog } from './gatewayLog.js';
import type { CacheStoreRelaySource } from './peerExchange.js';
import { parseSaltVersion } from './reusePlan.js';
import { CacheStoreFollower } from './cacheStoreFollower.js';
import type { CacheStoreClient } from './types.js';

/** Key under which the nodes that watch the stores are chosen. */
const WATCHER_KEY = 'cache-stores';

export interface CacheStoreWatcherDependencies {
  readonly nodeName: string;
  readonly clusterState: ClusterState;
  readonly client: CacheStoreClient;
  readonly relay: CacheStoreRelaySource;
  readonly random: () => number;
  /** Also counts time in which the VM was suspended. */
  readonly clock: Clock;
  readonly log: GatewayLog;
}

/**
 * Keeps an index of what each store VM holds, and frees the parts of weights that no endpoint uses any
 * more. A store serves few event calls at once; where there are more nodes, only some of them watch it.
 */
export class CacheStoreWatcher {
  private readonly followersByAddress = new Map<string, CacheStoreFollower>();

  /** Clock reading since which all endpoints have at least a version, by model. */
  private readonly settledVersions = new Map<string, { version: number; sinceMs: number }>();

  private isWatching = false;

  /** Nodes that tell this one of the stores; empty if it watches them itself. */
  private relayPeers: readonly string[] = [];

  /** The one that was asked last and answered. */
  private currentRelayPeer = '';

  private lastRelayAtMs = Number.NEGATIVE_INFINITY;

  private isStopped = false;

  private constructor(private readonly dependencies: CacheStoreWatcherDependencies) {}

  static create(parts: CacheStoreWatcherDependencies): CacheStoreWatcher {
    return new CacheStoreWatcher(parts);
  }

  /** Returns what a store VM keeps, or undefined if this node doesn't watch it. */
  findIndex(address: string): StoreIndex | undefined {
    return this.followersByAddress.get(address)?.index;
  }

  stop(): void {
    this.isStopped = true;
    for (const follower of this.followersByAddress.values()) follower.stop();
  }

  /** Starts and ends watching as the stores and the nodes change. Runs until `stop` is called. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      await waitMs(HOUSEKEEPING_INTERVAL_MS);
      this.updateSettledVersions();
      this.updateFollowers();
      const nowMs = this.dependencies.clock.nowMs();
      if (this.relayPeers.length === 0 || nowMs - this.lastRelayAtMs < INDEX_RELAY_INTERVAL_MS)
        continue;
      this.lastRelayAtMs = nowMs;
      await this.pullFromRelayPeer();
    }
  }

  private updateFollowers(): void {
    const stores = this.dependencies.clusterState.trafficRules?.cacheStores ?? [];
    const watchers = this.chooseWatchers(stores);
    const isWatcher = watchers.includes(this.dependencies.nodeName);
    this.relayPeers = isWatcher ? [] : watchers;
    const wanted = new Set(stores.map(({ address }) => address));
    for (const [address, follower] of this.followersByAddress) {
      if (wanted.has(address) && this.isWatching === isWatcher) continue;
      follower.stop();
      this.followersByAddress.delete(address);
    }
    this.isWatching = isWatcher;
    for (const store of stores) {
      const follower = this.followersByAddress.get(store.address) ?? this.startFollowing(store);
      follower.isPartRemover = watchers[0] === this.dependencies.nodeName;
    }
  }

  /** Returns the nodes that watch all stores; the same ones, so that one of them can tell of all. */
  private chooseWatchers(stores: readonly CacheStore[]): string[] {
    const least = Math.min(...stores.map(({ maxEventCalls }) => maxEventCalls));
    const { nodeCount: nodes } = this.dependencies.clusterState;
    const wanted =
      nodes <= MAX_FULL_RATE_NODES
        ? nodes
        : Math.max(MIN_WATCHERS, Math.ceil(nodes / NODES_PER_WATCHER));
    const count = Math.max(1, Math.min(least - RESERVED_EVENT_CALLS, wanted));
    return getRendezvousOwners(WATCHER_KEY, this.dependencies.clusterState.listPeerNames(), count);
  }

  /** Asks a node that watches the stores for what is new at all of them. */
  private async pullFromRelayPeer(): Promise<void> {
    const { relay, random, clock, nodeName } = this.dependencies;
    const known = this.relayPeers.includes(this.currentRelayPeer)
      ? this.currentRelayPeer
      : undefined;
    // A change of the peer costs a whole copy of each index, so the first choice is kept.
    const peer = known ?? getRendezvousOwners(nodeName, this.relayPeers, 1)[0];
    if (peer === undefined) return;
    const sentMs = clock.nowMs();
    const followers = [...this.followersByAddress.values()];
    const relays = await relay(
      peer,
      followers.map((follower) => follower.getCursor(peer)),
    );
    this.currentRelayPeer =
      relays.size > 0
        ? peer
        : (this.relayPeers[Math.floor(random() * this.relayPeers.length)] ?? '');
    for (const follower of followers) {
      follower.applyRelay(peer, relays.get(follower.store.address), sentMs);
    }
  }

  private startFollowing(store: CacheStore): CacheStoreFollower {
    const { client, clock, log } = this.dependencies;
    const follower = CacheStoreFollower.create(store, {
      client,
      clock,
      log,
      onStoreResponse: (followed) => this.freeOldParts(followed),
    });
    this.followersByAddress.set(store.address, follower);
    if (!this.isWatching) return follower;
    follower.run().catch((error: unknown) => {
      log.logProblem('cache_store_watch_failed', { reason: getErrorMessage(error) });
      this.followersByAddress.delete(store.address);
    });
    return follower;
  }

  /** Records since when no endpoint has weights older than the newest that were named. */
  private updateSettledVersions(): void {
    const { clusterState, clock } = this.dependencies;
    const nowMs = clock.nowMs();
    for (const { model, version } of clusterState.listWeightTargets()) {
      let isSettled = true;
      for (const { record } of clusterState.endpoints.listAll()) {
        const own = record.weights.get(model);
        if (own !== undefined && own < version) isSettled = false;
      }
      const known = this.settledVersions.get(model);
      if (!isSettled) this.settledVersions.delete(model);
      else if (known?.version !== version)
        this.settledVersions.set(model, { version, sinceMs: nowMs });
    }
  }

  /**
   * Frees parts of replaced weights. No request reads them any more: requests name parts of the weights
   * that they expect, and an endpoint with other weights rejects them.
   */
  private async freeOldParts({
    store,
    index,
    isPartRemover: isManager,
  }: CacheStoreFollower): Promise<void> {
    if (!isManager || !store.isManaged || index.epoch === undefined) return;
    const nowMs = this.dependencies.clock.nowMs();
    const old: StoredPart[] = [];
    for (const part of index.listParts()) {
      const settled = this.settledVersions.get(part.model);
      const version = parseSaltVersion(part.salt);
      if (settled === undefined || version === undefined || version >= settled.version) continue;
      if (nowMs - settled.sinceMs < OLD_PARTS_FREE_DELAY_MS) continue;
      old.push(part);
      if (old.length >= MAX_FREED_PARTS_PER_CALL) break;
    }
    if (old.length === 0) return;
    const isFreed = await this.dependencies.client.freeParts(store.address, old, index.epoch);
    if (isFreed) for (const { salt, id } of old) index.removePart(salt, id);
    this.dependencies.log.logStateChange('old_parts_freed', {
      store: store.address,
      parts: old.length,
      isFreed,
      epoch: index.epoch,
    });
  }
}
