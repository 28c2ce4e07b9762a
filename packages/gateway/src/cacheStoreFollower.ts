import { setTimeout as waitMs } from 'node:timers/promises';
import type { Clock } from '@lovagearch/common';
import { StoreIndex, type StoreIndexUpdate } from '@lovagearch/reuse';
import type { CacheStore } from '@lovagearch/traffic';
import {
  CACHE_STORE_POLL_INTERVAL_MS,
  CACHE_STORE_LONG_POLL_MS,
  CACHE_STORE_RETRY_DELAY_MS,
} from './constants.js';
import type { GatewayLog } from './gatewayLog.js';
import type { CacheStoreCursor } from './peerExchange.js';
import type { CacheStoreClient } from './types.js';

export interface CacheStoreFollowerDependencies {
  readonly client: CacheStoreClient;
  /** Clock that also advances while the VM is suspended. */
  readonly clock: Clock;
  readonly log: GatewayLog;
  /** Called after each response of the cache store itself, not after those of peers. */
  readonly onStoreResponse: (follower: CacheStoreFollower) => Promise<void>;
}

/** Keeps the index of one cache store VM up to date, from the store's events or from a peer's index. */
export class CacheStoreFollower {
  readonly index = StoreIndex.create();

  /** Whether this node is the one that frees parts at the cache store. */
  isPartRemover = false;

  /** The peer that `nextEventNumber` belongs to; each watcher numbers events on its own. */
  private relayPeer = '';

  private nextEventNumber = 0;

  /** The index of that peer; it has another one after its restart. */
  private relayLog = 0;

  private isReachable: boolean | undefined;

  private isStopped = false;

  private constructor(
    readonly store: CacheStore,
    private readonly dependencies: CacheStoreFollowerDependencies,
  ) {}

  static create(store: CacheStore, parts: CacheStoreFollowerDependencies): CacheStoreFollower {
    return new CacheStoreFollower(store, parts);
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Follows the events of the cache store until `stop` is called. */
  async run(): Promise<void> {
    while (!this.isStopped) await this.followStore();
  }

  /** Returns the cursor from which a watcher continues. */
  getCursor(peer: string): CacheStoreCursor {
    // Each watcher numbers events on its own, so another watcher starts from the beginning.
    const isSamePeer = this.relayPeer === peer;
    const { address } = this.store;
    if (!isSamePeer) return { address, epoch: 0, log: 0, since: 0 };
    return {
      address,
      epoch: this.index.epoch ?? 0,
      log: this.relayLog,
      since: this.nextEventNumber,
    };
  }

  /**
   * Applies what a watcher returned.
   *
   * @param relay undefined if the peer has no recent response of the cache store
   * @param sentMs clock reading before the request to the peer
   */
  applyRelay(peer: string, relay: StoreIndexUpdate | undefined, sentMs: number): void {
    const { index } = this;
    if (relay === undefined) {
      this.relayPeer = '';
      index.recordFailure();
      this.logReachability(false, peer);
      return;
    }
    const respondedAtMs = sentMs - relay.ageMs;
    index.recordRecovery(respondedAtMs);
    index.applyUpdate(relay, respondedAtMs);
    this.relayPeer = peer;
    this.relayLog = relay.log;
    this.nextEventNumber = relay.next;
    this.logReachability(true, peer);
  }

  private async followStore(): Promise<void> {
    const { clock, client, onStoreResponse } = this.dependencies;
    const startMs = clock.nowMs();
    const response = await client.readEvents(
      this.store.address,
      this.nextEventNumber,
      CACHE_STORE_LONG_POLL_MS,
    );
    if (response === undefined) {
      await this.handleFailure();
      return;
    }
    const nowMs = clock.nowMs();
    this.index.recordRecovery(nowMs);
    const { epoch, events, hasGap } = response;
    const isSameEpoch = this.index.applyResponse(epoch, events, nowMs, hasGap);
    this.nextEventNumber = isSameEpoch ? response.next : 0;
    this.logReachability(true, 'store');
    if (!isSameEpoch) return;
    await onStoreResponse(this);
    const pauseMs = CACHE_STORE_POLL_INTERVAL_MS - (clock.nowMs() - startMs);
    if (pauseMs > 0) await waitMs(pauseMs);
  }

  private async handleFailure(): Promise<void> {
    this.index.recordFailure();
    this.logReachability(false, 'store');
    await waitMs(CACHE_STORE_RETRY_DELAY_MS);
  }

  private logReachability(isReachable: boolean, source: string): void {
    if (this.isReachable === isReachable) return;
    this.isReachable = isReachable;
    this.dependencies.log.logStateChange(
      isReachable ? 'cache_store_regained' : 'cache_store_lost',
      {
        store: this.store.address,
        epoch: this.index.epoch,
        knownParts: this.index.size,
        source,
      },
    );
  }
}
