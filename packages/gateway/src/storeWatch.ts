import { setTimeout as waitMs } from 'node:timers/promises';
import { type Clock, getErrorMessage, getRendezvousOwners } from '@lovagearch/common';
import type { StoredPart, StoreIndex } from '@lovagearch/reuse';
import type { CacheStore } from '@lovagearch/traffic';
import type { Beliefs } from './beliefs.js';
import {
  HOUSEKEEPING_MS,
  INDEX_RELAY_MS,
  MAX_FREED_PARTS,
  MIN_WATCHERS,
  NODES_PER_WATCHER,
  OLD_PARTS_FREE_MS,
  SPARE_EVENT_CALLS,
  UNPACED_NODES,
} from './constants.js';
import type { DecisionLog } from './decisionLog.js';
import type { StoreRelaySource } from './peerExchange.js';
import { parseSaltVersion } from './reusePlan.js';
import { StoreFollower } from './storeFollower.js';
import type { CacheStoreClient } from './types.js';

/** Key under which the nodes that watch the stores are chosen. */
const WATCHER_KEY = 'cache-stores';

export interface StoreWatchParts {
  readonly nodeName: string;
  readonly beliefs: Beliefs;
  readonly client: CacheStoreClient;
  readonly relay: StoreRelaySource;
  readonly random: () => number;
  /** Also counts time in which the VM was suspended. */
  readonly clock: Clock;
  readonly log: DecisionLog;
}

/**
 * Keeps an index of what each store VM holds, and frees the parts of weights that no endpoint uses any
 * more. A store serves few event calls at once; where there are more nodes, only some of them watch it.
 */
export class StoreWatch {
  private readonly watched = new Map<string, StoreFollower>();

  /** Clock reading since which all endpoints have at least a version, by model. */
  private readonly settled = new Map<string, { version: number; sinceMs: number }>();

  private isWatching = false;

  /** Nodes that tell this one of the stores; empty if it watches them itself. */
  private relays: readonly string[] = [];

  /** The one that was asked last and answered. */
  private relayPeer = '';

  private relayedMs = Number.NEGATIVE_INFINITY;

  private isStopped = false;

  private constructor(private readonly parts: StoreWatchParts) {}

  static create(parts: StoreWatchParts): StoreWatch {
    return new StoreWatch(parts);
  }

  /** Returns what a store VM keeps, or undefined if this node doesn't watch it. */
  findIndex(address: string): StoreIndex | undefined {
    return this.watched.get(address)?.index;
  }

  stop(): void {
    this.isStopped = true;
    for (const follower of this.watched.values()) follower.stop();
  }

  /** Starts and ends watching as the stores and the nodes change. Runs until `stop` is called. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      await waitMs(HOUSEKEEPING_MS);
      this.updateSettled();
      this.updateWatched();
      const nowMs = this.parts.clock.nowMs();
      if (this.relays.length === 0 || nowMs - this.relayedMs < INDEX_RELAY_MS) continue;
      this.relayedMs = nowMs;
      await this.followRelays();
    }
  }

  private updateWatched(): void {
    const stores = this.parts.beliefs.rules?.cacheStores ?? [];
    const watchers = this.chooseWatchers(stores);
    const isWatcher = watchers.includes(this.parts.nodeName);
    this.relays = isWatcher ? [] : watchers;
    const wanted = new Set(stores.map(({ address }) => address));
    for (const [address, follower] of this.watched) {
      if (wanted.has(address) && this.isWatching === isWatcher) continue;
      follower.stop();
      this.watched.delete(address);
    }
    this.isWatching = isWatcher;
    for (const store of stores) {
      const follower = this.watched.get(store.address) ?? this.startFollowing(store);
      follower.isManager = watchers[0] === this.parts.nodeName;
    }
  }

  /** Returns the nodes that watch all stores; the same ones, so that one of them can tell of all. */
  private chooseWatchers(stores: readonly CacheStore[]): string[] {
    const least = Math.min(...stores.map(({ maxEventCalls }) => maxEventCalls));
    const { nodes } = this.parts.beliefs;
    const wanted =
      nodes <= UNPACED_NODES ? nodes : Math.max(MIN_WATCHERS, Math.ceil(nodes / NODES_PER_WATCHER));
    const count = Math.max(1, Math.min(least - SPARE_EVENT_CALLS, wanted));
    return getRendezvousOwners(WATCHER_KEY, this.parts.beliefs.listPeerNames(), count);
  }

  /** Asks a node that watches the stores for what is new at all of them. */
  private async followRelays(): Promise<void> {
    const { relay, random, clock, nodeName } = this.parts;
    const known = this.relays.includes(this.relayPeer) ? this.relayPeer : undefined;
    // A change of the peer costs a whole copy of each index, so the first choice is kept.
    const peer = known ?? getRendezvousOwners(nodeName, this.relays, 1)[0];
    if (peer === undefined) return;
    const sentMs = clock.nowMs();
    const followers = [...this.watched.values()];
    const relays = await relay(
      peer,
      followers.map((follower) => follower.getRelayCursor(peer)),
    );
    this.relayPeer =
      relays.size > 0 ? peer : (this.relays[Math.floor(random() * this.relays.length)] ?? '');
    for (const follower of followers) {
      follower.applyRelay(peer, relays.get(follower.store.address), sentMs);
    }
  }

  private startFollowing(store: CacheStore): StoreFollower {
    const { client, clock, log } = this.parts;
    const follower = StoreFollower.create(store, {
      client,
      clock,
      log,
      onFollowed: (followed) => this.freeOldParts(followed),
    });
    this.watched.set(store.address, follower);
    if (!this.isWatching) return follower;
    follower.run().catch((error: unknown) => {
      log.recordProblem('cache_store_watch_failed', { reason: getErrorMessage(error) });
      this.watched.delete(store.address);
    });
    return follower;
  }

  /** Records since when no endpoint has weights older than the newest that were named. */
  private updateSettled(): void {
    const { beliefs, clock } = this.parts;
    const nowMs = clock.nowMs();
    for (const { model, version } of beliefs.listWeightTargets()) {
      let isSettled = true;
      for (const { record } of beliefs.endpoints.listAll()) {
        const own = record.weights.get(model);
        if (own !== undefined && own < version) isSettled = false;
      }
      const known = this.settled.get(model);
      if (!isSettled) this.settled.delete(model);
      else if (known?.version !== version) this.settled.set(model, { version, sinceMs: nowMs });
    }
  }

  /**
   * Frees parts of replaced weights. No request reads them any more: requests name parts of the weights
   * that they expect, and an endpoint with other weights rejects them.
   */
  private async freeOldParts({ store, index, isManager }: StoreFollower): Promise<void> {
    if (!isManager || !store.isManaged || index.epoch === undefined) return;
    const nowMs = this.parts.clock.nowMs();
    const old: StoredPart[] = [];
    for (const part of index.listParts()) {
      const settled = this.settled.get(part.model);
      const version = parseSaltVersion(part.salt);
      if (settled === undefined || version === undefined || version >= settled.version) continue;
      if (nowMs - settled.sinceMs < OLD_PARTS_FREE_MS) continue;
      old.push(part);
      if (old.length >= MAX_FREED_PARTS) break;
    }
    if (old.length === 0) return;
    const isFreed = await this.parts.client.freeParts(store.address, old, index.epoch);
    if (isFreed) for (const { salt, id } of old) index.removePart(salt, id);
    this.parts.log.recordChange('old_parts_freed', {
      store: store.address,
      parts: old.length,
      isFreed,
      epoch: index.epoch,
    });
  }
}
