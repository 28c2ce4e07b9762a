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
import { UnusedRegionRules } from './unusedRegionRules.js';
import { CacheStoreFollower } from './cacheStoreFollower.js';
import type { CacheStoreClient } from './types.js';

/** Rendezvous hashing key by which the watchers are chosen. */
const WATCHER_KEY = 'cache-stores';

export interface CacheStoreWatcherDependencies {
  readonly nodeName: string;
  readonly clusterState: ClusterState;
  readonly client: CacheStoreClient;
  readonly relay: CacheStoreRelaySource;
  readonly random: () => number;
  /** Clock that also advances while the VM is suspended. */
  readonly clock: Clock;
  readonly log: GatewayLog;
}

/**
 * Keeps an index of the prompt parts that each cache store VM holds, and frees those that were computed
 * with model weights that no endpoint uses any longer, or for region rules that no request has any longer. A store serves few concurrent requests for its
 * events, so in larger deployments only some nodes (the watchers) poll the stores, and the other nodes poll
 * a watcher.
 */
export class CacheStoreWatcher {
  private readonly followersByAddress = new Map<string, CacheStoreFollower>();

  /** Target version by model, and the clock reading since which no endpoint has older weights. */
  private readonly settledVersions = new Map<string, { version: number; sinceMs: number }>();

  private readonly unusedRegionRules = UnusedRegionRules.create();

  private isWatching = false;

  /** Watchers that this node can poll; empty if it is a watcher itself. */
  private relayPeers: readonly string[] = [];

  /** The watcher that responded last, or the one to try next after a failure. */
  private currentRelayPeer = '';

  private lastRelayAtMs = Number.NEGATIVE_INFINITY;

  private isStopped = false;

  private constructor(private readonly dependencies: CacheStoreWatcherDependencies) {}

  static create(dependencies: CacheStoreWatcherDependencies): CacheStoreWatcher {
    return new CacheStoreWatcher(dependencies);
  }

  /** Returns the index of what a cache store VM holds, or undefined if the store is not configured. */
  findIndex(address: string): StoreIndex | undefined {
    return this.followersByAddress.get(address)?.index;
  }

  stop(): void {
    this.isStopped = true;
    for (const follower of this.followersByAddress.values()) follower.stop();
  }

  /** Starts and stops followers as the cache stores and the nodes change. Runs until `stop` is called. */
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

  /** Chooses the same watchers for all cache stores, so that one poll of a watcher covers all stores. */
  private chooseWatchers(stores: readonly CacheStore[]): string[] {
    const minEventCalls = Math.min(...stores.map(({ maxEventCalls }) => maxEventCalls));
    const { nodeCount } = this.dependencies.clusterState;
    const wanted =
      nodeCount <= MAX_FULL_RATE_NODES
        ? nodeCount
        : Math.max(MIN_WATCHERS, Math.ceil(nodeCount / NODES_PER_WATCHER));
    const count = Math.max(1, Math.min(minEventCalls - RESERVED_EVENT_CALLS, wanted));
    return getRendezvousOwners(WATCHER_KEY, this.dependencies.clusterState.listPeerNames(), count);
  }

  /** Polls a watcher for the new events of all cache stores. */
  private async pullFromRelayPeer(): Promise<void> {
    const { relay, random, clock, nodeName } = this.dependencies;
    const known = this.relayPeers.includes(this.currentRelayPeer)
      ? this.currentRelayPeer
      : undefined;
    // Switching to another peer transfers each index in full, so a peer is kept while it responds.
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

  /** Records the time since which no endpoint has weights older than the target version. */
  private updateSettledVersions(): void {
    const { clusterState, clock } = this.dependencies;
    const nowMs = clock.nowMs();
    for (const { model, version } of clusterState.listWeightTargets()) {
      let isSettled = true;
      for (const { record } of clusterState.endpoints.listAll()) {
        const loadedVersion = record.weights.get(model);
        if (loadedVersion !== undefined && loadedVersion < version) isSettled = false;
      }
      const known = this.settledVersions.get(model);
      if (!isSettled) this.settledVersions.delete(model);
      else if (known?.version !== version)
        this.settledVersions.set(model, { version, sinceMs: nowMs });
    }
  }

  /**
   * Whether a part was computed with replaced weights. It is no longer read: a request refers only to parts computed
   * with the weights that it expects, and an endpoint with other weights rejects it.
   */
  private hasReplacedWeights({ model, salt }: StoredPart, nowMs: number): boolean {
    const settled = this.settledVersions.get(model);
    const version = parseSaltVersion(salt);
    if (settled === undefined || version === undefined || version >= settled.version) return false;
    return nowMs - settled.sinceMs >= OLD_PARTS_FREE_DELAY_MS;
  }

  /** Frees prompt parts that no request reads any longer. */
  private async freeOldParts({ store, index, isPartRemover }: CacheStoreFollower): Promise<void> {
    if (!isPartRemover || !store.isManaged || index.epoch === undefined) return;
    const nowMs = this.dependencies.clock.nowMs();
    const usedNames = this.dependencies.clusterState.trafficRules?.regionRuleNames;
    const oldParts: StoredPart[] = [];
    for (const part of index.listParts()) {
      const isUnused =
        this.hasReplacedWeights(part, nowMs) ||
        (usedNames !== undefined && this.unusedRegionRules.isUnused(part.salt, usedNames, nowMs));
      if (!isUnused) continue;
      oldParts.push(part);
      if (oldParts.length >= MAX_FREED_PARTS_PER_CALL) break;
    }
    if (oldParts.length === 0) return;
    const isFreed = await this.dependencies.client.freeParts(store.address, oldParts, index.epoch);
    if (isFreed) for (const { salt, id } of oldParts) index.removePart(salt, id);
    this.dependencies.log.logStateChange('old_parts_freed', {
      store: store.address,
      parts: oldParts.length,
      isFreed,
      epoch: index.epoch,
    });
  }
}
