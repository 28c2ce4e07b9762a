import { setTimeout as waitMs } from 'node:timers/promises';
import { type Clock, getErrorMessage, getRendezvousOwners } from '@lovagearch/common';
import type { StoredPart, StoreIndex } from '@lovagearch/reuse';
import type { CacheStore } from '@lovagearch/traffic';
import type { Beliefs } from './beliefs.js';
import {
  HOUSEKEEPING_MS,
  MAX_FREED_PARTS,
  OLD_PARTS_FREE_MS,
  SPARE_EVENT_CALLS,
} from './constants.js';
import type { DecisionLog } from './decisionLog.js';
import type { StoreRelaySource } from './peerExchange.js';
import { parseSaltVersion } from './reusePlan.js';
import { StoreFollower } from './storeFollower.js';
import type { CacheStoreClient } from './types.js';

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
      const follower = this.watched.get(store.address) ?? this.startFollowing(store);
      follower.updateRelays(watchers.includes(nodeName) ? [] : watchers);
      follower.isManager = watchers[0] === nodeName;
    }
    for (const [address, follower] of this.watched) {
      if (wanted.has(address)) continue;
      follower.stop();
      this.watched.delete(address);
    }
  }

  private startFollowing(store: CacheStore): StoreFollower {
    const { client, relay, random, clock, log } = this.parts;
    const follower = StoreFollower.create(store, {
      client,
      relay,
      random,
      clock,
      log,
      onFollowed: (followed) => this.freeOldParts(followed),
    });
    this.watched.set(store.address, follower);
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
