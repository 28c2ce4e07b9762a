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
  /** Also counts time in which the VM was suspended. */
  readonly clock: Clock;
  readonly log: GatewayLog;
  /** Called after each answer of the store itself. */
  readonly onStoreResponse: (follower: CacheStoreFollower) => Promise<void>;
}

/** Keeps the index of one store VM, from the store's events or from a peer that has them. */
export class CacheStoreFollower {
  readonly index = StoreIndex.create();

  /** Whether this node is the one that frees parts at the store. */
  isPartRemover = false;

  /** The peer that told last; numbers of changes are its own. */
  private relayPeer = '';

  private nextEventNumber = 0;

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

  /** Follows the store's events until `stop` is called. */
  async run(): Promise<void> {
    while (!this.isStopped) await this.followStore();
  }

  /** What a peer that watches the store has to know to tell what is new. */
  getCursor(peer: string): CacheStoreCursor {
    // Numbers of changes are each watcher's own, so another watcher begins anew.
    const isSamePeer = this.relayPeer === peer;
    const epoch = isSamePeer ? (this.index.epoch ?? 0) : 0;
    return { address: this.store.address, epoch, since: isSamePeer ? this.nextEventNumber : 0 };
  }

  /**
   * Takes in what a peer that watches the store told.
   *
   * @param relay undefined if the peer has no recent answer of the store
   * @param sentMs clock reading before the peer was asked
   */
  applyRelay(peer: string, relay: StoreIndexUpdate | undefined, sentMs: number): void {
    const { index } = this;
    if (relay === undefined) {
      this.relayPeer = '';
      index.recordFailure();
      this.logReachability(false, peer);
      return;
    }
    const answeredMs = sentMs - relay.ageMs;
    index.recordRecovery(answeredMs);
    if (!index.applyResponse(relay.epoch, relay.events, answeredMs)) {
      index.applyResponse(relay.epoch, relay.events, answeredMs);
    }
    this.relayPeer = peer;
    this.nextEventNumber = relay.next;
    this.logReachability(true, peer);
  }

  private async followStore(): Promise<void> {
    const { clock, client, onStoreResponse: onFollowed } = this.dependencies;
    const startMs = clock.nowMs();
    const answer = await client.readEvents(
      this.store.address,
      this.nextEventNumber,
      CACHE_STORE_LONG_POLL_MS,
    );
    if (answer === undefined) {
      await this.handleFailure();
      return;
    }
    const nowMs = clock.nowMs();
    this.index.recordRecovery(nowMs);
    const isSameStart = this.index.applyResponse(answer.epoch, answer.events, nowMs);
    this.nextEventNumber = isSameStart ? answer.next : 0;
    this.logReachability(true, 'store');
    if (!isSameStart) return;
    await onFollowed(this);
    const pauseMs = CACHE_STORE_POLL_INTERVAL_MS - (clock.nowMs() - startMs);
    if (pauseMs > 0) await waitMs(pauseMs);
  }

  private async handleFailure(): Promise<void> {
    this.index.recordFailure();
    this.logReachability(false, 'store');
    await waitMs(CACHE_STORE_RETRY_DELAY_MS);
  }

  private logReachability(isUp: boolean, source: string): void {
    if (this.isReachable === isUp) return;
    this.isReachable = isUp;
    this.dependencies.log.logStateChange(isUp ? 'cache_store_regained' : 'cache_store_lost', {
      store: this.store.address,
      epoch: this.index.epoch,
      knownParts: this.index.size,
      source,
    });
  }
}
