import { setTimeout as waitMs } from 'node:timers/promises';
import type { Clock } from '@lovagearch/common';
import { StoreIndex } from '@lovagearch/reuse';
import type { CacheStore } from '@lovagearch/traffic';
import {
  INDEX_RELAY_MS,
  STORE_EVENT_PACE_MS,
  STORE_EVENT_WAIT_MS,
  STORE_RETRY_MS,
} from './constants.js';
import type { DecisionLog } from './decisionLog.js';
import type { StoreRelaySource } from './peerExchange.js';
import type { CacheStoreClient } from './types.js';

export interface StoreFollowerParts {
  readonly client: CacheStoreClient;
  readonly relay: StoreRelaySource;
  readonly random: () => number;
  /** Also counts time in which the VM was suspended. */
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Called after each answer of the store itself. */
  readonly onFollowed: (follower: StoreFollower) => Promise<void>;
}

/** Keeps the index of one store VM, from the store's events or from a peer that has them. */
export class StoreFollower {
  readonly index = StoreIndex.create();

  /** Whether this node is the one that frees parts at the store. */
  isManager = false;

  /** Nodes that watch the store itself; empty if this node does. */
  private relays: readonly string[] = [];

  /** The peer that was asked last, and whether it answered. */
  private relayPeer = '';

  private hasRelay = false;

  private next = 0;

  private isUp: boolean | undefined;

  private isStopped = false;

  private constructor(
    readonly store: CacheStore,
    private readonly parts: StoreFollowerParts,
  ) {}

  static create(store: CacheStore, parts: StoreFollowerParts): StoreFollower {
    return new StoreFollower(store, parts);
  }

  stop(): void {
    this.isStopped = true;
  }

  /** @param relays peers to follow instead of the store; empty to follow the store */
  updateRelays(relays: readonly string[]): void {
    const isOtherSource = (relays.length === 0) !== (this.relays.length === 0);
    if (isOtherSource) this.next = 0;
    this.relays = relays;
  }

  /** Runs until `stop` is called. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      if (this.relays.length === 0) await this.followStore();
      else await this.followRelay();
    }
  }

  private async followStore(): Promise<void> {
    const { clock, client, onFollowed } = this.parts;
    const startMs = clock.nowMs();
    const answer = await client.readEvents(this.store.address, this.next, STORE_EVENT_WAIT_MS);
    if (answer === undefined) {
      await this.handleFailure();
      return;
    }
    const nowMs = clock.nowMs();
    this.index.recordReturn(nowMs);
    const isSameStart = this.index.applyAnswer(answer.epoch, answer.events, nowMs);
    this.next = isSameStart ? answer.next : 0;
    this.logState(true);
    if (!isSameStart) return;
    await onFollowed(this);
    const pauseMs = STORE_EVENT_PACE_MS - (clock.nowMs() - startMs);
    if (pauseMs > 0) await waitMs(pauseMs);
  }

  /** Follows the index of a node that watches the store, which has no call left for this node. */
  private async followRelay(): Promise<void> {
    const { clock, relay, random } = this.parts;
    const { index, relays, store } = this;
    const sentMs = clock.nowMs();
    const peer = relays[Math.floor(random() * relays.length)] ?? '';
    // Numbers of changes are each watcher's own, so a change of the watcher begins anew.
    const isSamePeer = this.relayPeer === peer && this.hasRelay;
    const epoch = isSamePeer ? (index.epoch ?? 0) : 0;
    const answer = await relay(peer, store.address, epoch, isSamePeer ? this.next : 0);
    this.relayPeer = peer;
    this.hasRelay = answer !== undefined;
    if (answer === undefined) {
      await this.handleFailure();
      return;
    }
    const answeredMs = sentMs - answer.ageMs;
    index.recordReturn(answeredMs);
    if (!index.applyAnswer(answer.epoch, answer.events, answeredMs)) {
      index.applyAnswer(answer.epoch, answer.events, answeredMs);
    }
    this.next = answer.next;
    this.logState(true);
    await waitMs(INDEX_RELAY_MS);
  }

  private async handleFailure(): Promise<void> {
    this.index.recordFailure();
    this.logState(false);
    await waitMs(STORE_RETRY_MS);
  }

  private logState(isUp: boolean): void {
    if (this.isUp === isUp) return;
    this.isUp = isUp;
    this.parts.log.recordChange(isUp ? 'cache_store_regained' : 'cache_store_lost', {
      store: this.store.address,
      epoch: this.index.epoch,
      knownParts: this.index.size,
      source: this.relays.length === 0 ? 'store' : 'peer',
    });
  }
}
