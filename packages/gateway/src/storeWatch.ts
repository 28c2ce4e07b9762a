import { setTimeout as waitMs } from 'node:timers/promises';
import { type Clock, getErrorMessage, getRendezvousOwners } from '@lovagearch/common';
import { type StoredPart, StoreIndex } from '@lovagearch/reuse';
import type { CacheStore } from '@lovagearch/traffic';
import type { Beliefs } from './beliefs.js';
import {
  HOUSEKEEPING_MS,
  INDEX_RELAY_MS,
  MAX_FREED_PARTS,
  OLD_PARTS_FREE_MS,
  SPARE_EVENT_CALLS,
  STORE_EVENT_PACE_MS,
  STORE_EVENT_WAIT_MS,
  STORE_RETRY_MS,
} from './constants.js';
import type { DecisionLog } from './decisionLog.js';
import { parseSaltVersion } from './reusePlan.js';
import type { StoreRelaySource } from './peerExchange.js';
import type { CacheStoreClient } from './types.js';

interface WatchedStore {
  store: CacheStore;
  readonly index: StoreIndex;
  next: number;
  /** Nodes that watch the store itself; empty if this node does. */
  relays: readonly string[];
  /** The node that was asked last, and whether it answered. */
  relayPeer: string;
  hasRelay: boolean;
  isUp: boolean | undefined;
  /** Whether this node is the one that frees parts there. */
  isManager: boolean;
  isRunning: boolean;
}

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
  private readonly watched = new Map<string, WatchedStore>();

  /** Clock reading since which all endpoints have at least a version, by model. */
  private readonly settled = new Map<string, { version: number; sinceMs: number }>();

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
  }

  /** Starts and ends watching as the stores and the nodes change. Runs until `stop` is called. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      await waitMs(HOUSEKEEPING_MS);
      this.updateSettled();
      this.updateWatched();
    }
  }

  private updateWatched(): void {
    const { beliefs, nodeName } = this.parts;
    const nodes = beliefs.listPeerNames();
    const wanted = new Set<string>();
    for (const store of beliefs.rules?.cacheStores ?? []) {
      const count = Math.max(1, store.maxEventCalls - SPARE_EVENT_CALLS);
      const watchers = getRendezvousOwners(store.address, nodes, count);
      wanted.add(store.address);
      const known = this.watched.get(store.address) ?? this.startWatching(store);
      const isWatcher = watchers.includes(nodeName);
      if (isWatcher !== (known.relays.length === 0)) known.next = 0;
      known.store = store;
      known.relays = isWatcher ? [] : watchers;
      known.isManager = watchers[0] === nodeName;
    }
    for (const [address, watched] of this.watched) {
      if (wanted.has(address)) continue;
      watched.isRunning = false;
      this.watched.delete(address);
    }
  }

  private startWatching(store: CacheStore): WatchedStore {
    const watched: WatchedStore = {
      store,
      index: StoreIndex.create(),
      next: 0,
      relays: [],
      relayPeer: '',
      hasRelay: false,
      isUp: undefined,
      isManager: false,
      isRunning: true,
    };
    this.watched.set(store.address, watched);
    this.follow(watched).catch((error: unknown) => {
      this.parts.log.recordProblem('cache_store_watch_failed', { reason: getErrorMessage(error) });
      this.watched.delete(store.address);
    });
    return watched;
  }

  private async follow(watched: WatchedStore): Promise<void> {
    while (watched.isRunning && !this.isStopped) {
      if (watched.relays.length === 0) await this.followStore(watched);
      else await this.followRelay(watched);
    }
  }

  private async followStore(watched: WatchedStore): Promise<void> {
    const { clock, client } = this.parts;
    const startMs = clock.nowMs();
    const { address } = watched.store;
    const answer = await client.readEvents(address, watched.next, STORE_EVENT_WAIT_MS);
    if (answer === undefined) {
      await this.handleFailure(watched);
      return;
    }
    const nowMs = clock.nowMs();
    watched.index.recordReturn(nowMs);
    const isSameStart = watched.index.applyAnswer(answer.epoch, answer.events, nowMs);
    watched.next = isSameStart ? answer.next : 0;
    this.logState(watched, true);
    if (isSameStart && watched.isManager) await this.freeOldParts(watched);
    const pauseMs = STORE_EVENT_PACE_MS - (clock.nowMs() - startMs);
    if (isSameStart && pauseMs > 0) await waitMs(pauseMs);
  }

  /** Follows the index of a node that watches the store, which has no call left for this node. */
  private async followRelay(watched: WatchedStore): Promise<void> {
    const { clock, relay, random } = this.parts;
    const sentMs = clock.nowMs();
    const { index, relays, store } = watched;
    const peer = relays[Math.floor(random() * relays.length)] ?? '';
    // Numbers of changes are each watcher's own, so a change of the watcher begins anew.
    const isSamePeer = watched.relayPeer === peer && watched.hasRelay;
    const since = isSamePeer ? watched.next : 0;
    const answer = await relay(peer, store.address, isSamePeer ? (index.epoch ?? 0) : 0, since);
    watched.relayPeer = peer;
    watched.hasRelay = answer !== undefined;
    if (answer === undefined) {
      await this.handleFailure(watched);
      return;
    }
    const answeredMs = sentMs - answer.ageMs;
    index.recordReturn(answeredMs);
    if (!index.applyAnswer(answer.epoch, answer.events, answeredMs)) {
      index.applyAnswer(answer.epoch, answer.events, answeredMs);
    }
    watched.next = answer.next;
    this.logState(watched, true);
    await waitMs(INDEX_RELAY_MS);
  }

  private async handleFailure(watched: WatchedStore): Promise<void> {
    watched.index.recordFailure();
    this.logState(watched, false);
    await waitMs(STORE_RETRY_MS);
  }

  private logState(watched: WatchedStore, isUp: boolean): void {
    if (watched.isUp === isUp) return;
    watched.isUp = isUp;
    this.parts.log.recordChange(isUp ? 'cache_store_regained' : 'cache_store_lost', {
      store: watched.store.address,
      epoch: watched.index.epoch,
      knownParts: watched.index.size,
    });
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
  private async freeOldParts({ store, index }: WatchedStore): Promise<void> {
    if (!store.isManaged || index.epoch === undefined) return;
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
