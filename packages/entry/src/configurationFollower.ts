import { type Logger, MS_PER_SECOND, type NodeId, type Random } from '@lovagearch/common';
import {
  type ConfigurationDelta,
  type ConfigurationObjects,
  ConfigurationState,
  type ConfigurationTable,
  type ConfigurationView,
  deltaSchema,
  readBundle,
  readHead,
  type StateChange,
  type StateError,
} from '@lovagearch/configuration';
import type { PeerMesh } from '@lovagearch/peering';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { restoreHead, shouldRestoreHead } from './headRestoration.js';
import type { NodeComponent } from './types.js';

export const CONFIGURATION_PULL_TOPIC = 'configuration.pull';
/** Mean interval between reads of the head. */
const CYCLE_INTERVAL_MS = 4_000;
/** Share of the interval used as jitter, so that 350 nodes don't read at the same time. */
const CYCLE_JITTER_SHARE = 0.2;
/** Interval while the node has no configuration, and minimum delay between cycles. */
const MIN_CYCLE_INTERVAL_MS = 500;
const PULL_TIMEOUT_MS = 2 * MS_PER_SECOND;
/** Number of peers queried in each cycle while the store is reachable. */
const PEERS_PER_CYCLE = 1;
/** Further peers queried when the store fails, and peers notified of a new revision. */
const PEERS_WITHOUT_STORE = 3;
/** Number of peers queried by a node without configuration. */
const PEERS_WITHOUT_CONFIGURATION = 8;
/** Larger deltas exceed the frame of a peer message (1 MiB); the requesting node reads the store. */
const MAX_DELTA_BYTES = 900_000;

/** `revision` is the sender's current revision, so that the receiver can pull a newer one. */
export const pullRequestSchema = z.strictObject({
  since: z.number().int().nonnegative(),
  revision: z.number().int().nonnegative(),
});
const pullReplySchema = deltaSchema.nullable();

/** Where the current revision was received from. */
export type ConfigurationOrigin =
  | { readonly type: 'none' }
  | { readonly type: 'peer'; readonly node: NodeId }
  | { readonly type: 'store' };

/** State of the configuration, as shown by the administration API. */
export interface ConfigurationStatus {
  readonly revision: number;
  readonly digest: string;
  readonly origin: ConfigurationOrigin;
  readonly isStoreReachable: boolean;
  /** Revision of the last head read, if it is older than the current revision; otherwise null. */
  readonly ignoredHeadRevision: number | null;
}

export interface ConfigurationFollowerOptions {
  readonly table: ConfigurationTable;
  readonly objects: ConfigurationObjects;
  readonly mesh: PeerMesh;
  /** Live members other than this node. */
  readonly listPeers: () => readonly NodeId[];
  readonly random: Random;
  readonly log: Logger;
}

const choosePeers = (peers: readonly NodeId[], count: number, random: Random): NodeId[] => {
  const remaining = [...peers];
  const chosen: NodeId[] = [];
  while (chosen.length < count && remaining.length > 0) {
    chosen.push(...remaining.splice(Math.floor(random() * remaining.length), 1));
  }
  return chosen;
};

/**
 * Keeps the configuration of a node up to date: reads the head every 4 s and exchanges changed
 * entries with peers, which also works while the store is down. Never moves to a lower revision.
 *
 * @example
 * const follower = ConfigurationFollower.create({ table, objects, mesh, listPeers, random, log });
 * await follower.start();
 * follower.view.getAccountByKeyHash(hash);
 */
export class ConfigurationFollower implements NodeComponent {
  private readonly state = ConfigurationState.create();

  private origin: ConfigurationOrigin = { type: 'none' };

  private isStoreReachable = false;

  private ignoredHeadRevision: number | null = null;

  /** Number of consecutive reads that returned an older head. */
  private olderHeadReads = 0;

  private timer: NodeJS.Timeout | undefined;

  private isStopped = false;

  private currentCycle: Promise<void> = Promise.resolve();

  private pendingPulls: Promise<void> | undefined;

  private pendingAnnouncement: Promise<void> = Promise.resolve();

  private newerPeer: { readonly node: NodeId; readonly revision: number } | undefined;

  private constructor(private readonly options: ConfigurationFollowerOptions) {}

  /** Creates a follower and registers its peer message handler; `start` starts the cycles. */
  static create(options: ConfigurationFollowerOptions): ConfigurationFollower {
    const follower = new ConfigurationFollower(options);
    options.mesh.registerHandler(CONFIGURATION_PULL_TOPIC, pullRequestSchema, (from, payload) => {
      follower.recordPeerRevision(from, payload.revision);
      return follower.createPullReply(payload.since);
    });
    return follower;
  }

  get view(): ConfigurationView {
    return this.state.view;
  }

  get revision(): number {
    return this.state.revision;
  }

  getStatus(): ConfigurationStatus {
    const { origin, isStoreReachable, ignoredHeadRevision } = this;
    const { revision, digest } = this.state;
    return { revision, digest, origin, isStoreReachable, ignoredHeadRevision };
  }

  /** Runs the first cycle, then schedules further ones until `stop` is called. */
  async start(): Promise<void> {
    await this.runCycle();
    this.scheduleCycle(0);
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    await this.currentCycle;
    await this.pendingPulls;
    await this.pendingAnnouncement;
  }

  /** Handles the revision carried by a peer message or probe, and pulls it if it is newer. */
  recordPeerRevision(node: NodeId, revision: number): void {
    if (this.isStopped || revision <= this.state.revision) return;
    if (revision <= (this.newerPeer?.revision ?? 0)) return;
    this.newerPeer = { node, revision };
    this.pendingPulls ??= this.pullNewerRevisions();
  }

  /** Reads the head and exchanges entries with peers once. The promise never rejects. */
  async runCycle(): Promise<void> {
    const hasNoConfiguration = this.state.revision === 0;
    const count = hasNoConfiguration ? PEERS_WITHOUT_CONFIGURATION : PEERS_PER_CYCLE;
    const [isStoreRead] = await Promise.all([this.readStore(), this.exchangeWithPeers(count)]);
    if (isStoreRead !== this.isStoreReachable) {
      this.options.log.info(
        isStoreRead
          ? 'The configuration store is reachable.'
          : 'The configuration store is unreachable.',
      );
    }
    this.isStoreReachable = isStoreRead;
    if (!isStoreRead && !hasNoConfiguration) await this.exchangeWithPeers(PEERS_WITHOUT_STORE);
  }

  private scheduleCycle(elapsedMs: number): void {
    if (this.isStopped) return;
    const factor = 1 + CYCLE_JITTER_SHARE * (2 * this.options.random() - 1);
    const intervalMs = this.state.revision === 0 ? MIN_CYCLE_INTERVAL_MS : CYCLE_INTERVAL_MS;
    // The interval includes the cycle's duration, so that a slow store doesn't delay peer exchanges.
    const delayMs = Math.max(MIN_CYCLE_INTERVAL_MS, intervalMs * factor - elapsedMs);
    this.timer = setTimeout(() => {
      const startMs = performance.now();
      this.currentCycle = this.runCycle().then(() =>
        this.scheduleCycle(performance.now() - startMs),
      );
    }, delayMs);
  }

  /** Returns whether the head, and its bundle where needed, were read from the store. */
  private async readStore(): Promise<boolean> {
    const { table, objects, log } = this.options;
    const read = await readHead(table);
    if (read.isErr()) {
      if (read.error.type === 'invalid')
        log.error(`Rejected an invalid configuration head: ${read.error.message}.`);
      return false;
    }
    const { head, version } = read.value;
    const headRevision = head?.revision ?? 0;
    if (headRevision < this.state.revision) {
      await this.handleOlderHead(headRevision, version);
      return true;
    }
    this.ignoredHeadRevision = null;
    this.olderHeadReads = 0;
    if (head === null) return true;
    const check = this.state.checkRevision(head.revision, head.digest);
    if (check.isErr() || check.value === 'unchanged') {
      this.handleChange(check, { type: 'store' });
      return true;
    }
    const bundle = await readBundle(objects, head);
    if (bundle.isErr()) {
      log.warn(`Failed to read the bundle of revision ${head.revision}: ${bundle.error.message}.`);
      return false;
    }
    // The revision may have been received from a peer while the bundle was being read.
    if (head.revision <= this.state.revision) return true;
    this.handleChange(this.state.applyBundle(bundle.value, head.digest), { type: 'store' });
    return true;
  }

  /** Keeps the newer configuration, and writes it back if the store keeps returning an older head. */
  private async handleOlderHead(headRevision: number, version: number): Promise<void> {
    const { table, objects, mesh, listPeers, log } = this.options;
    if (this.ignoredHeadRevision !== headRevision) {
      log.warn(
        `Ignoring head ${headRevision}, older than current revision ${this.state.revision}.`,
      );
    }
    this.ignoredHeadRevision = headRevision;
    this.olderHeadReads += 1;
    if (!shouldRestoreHead(this.olderHeadReads, mesh.self, listPeers())) return;
    const outcome = await restoreHead(table, objects, this.state.currentBundle, version);
    log.warn(`Tried to restore revision ${this.state.revision} in the store: ${outcome}.`);
  }

  /** Requests newer entries from random peers; the same message carries this node's revision. */
  private async exchangeWithPeers(count: number): Promise<void> {
    const { listPeers, random } = this.options;
    const peers = choosePeers(listPeers(), count, random);
    await Promise.all(peers.map((node) => this.pullFrom(node, this.state.revision)));
  }

  private async pullNewerRevisions(): Promise<void> {
    for (let peer = this.newerPeer; peer !== undefined; peer = this.newerPeer) {
      if (peer.revision > this.state.revision) await this.pullFrom(peer.node, this.state.revision);
      // A failed pull is not retried: the next message or cycle carries the revision again.
      if (this.newerPeer === peer) this.newerPeer = undefined;
    }
    this.pendingPulls = undefined;
  }

  private async pullFrom(node: NodeId, since: number): Promise<void> {
    if (this.isStopped) return;
    const request = { since, revision: this.state.revision };
    const { mesh, log } = this.options;
    const reply = await mesh.request(node, CONFIGURATION_PULL_TOPIC, request, PULL_TIMEOUT_MS);
    if (reply.isErr()) return;
    const parsed = pullReplySchema.safeParse(reply.value);
    if (!parsed.success) {
      log.warn(`Node ${node} sent an invalid configuration delta.`);
      return;
    }
    const delta = parsed.data;
    if (delta === null || delta.revision <= this.state.revision) return;
    const change = this.state.applyDelta(delta);
    const isIncomplete = change.isErr() && this.requiresFullBundle(change.error);
    if (isIncomplete && since > 0) await this.pullFrom(node, 0);
    else this.handleChange(change, { type: 'peer', node });
  }

  private requiresFullBundle(error: StateError): boolean {
    return error.type === 'delta_gap' || error.type === 'digest_mismatch';
  }

  private handleChange(change: Result<StateChange, StateError>, origin: ConfigurationOrigin): void {
    const { log } = this.options;
    if (change.isErr()) {
      log.error(`Rejected a configuration from ${origin.type}: ${JSON.stringify(change.error)}.`);
      return;
    }
    if (change.value === 'unchanged') return;
    this.origin = origin;
    log.info(`Applied configuration revision ${this.state.revision} from ${origin.type}.`);
    // Announces the revision to peers, so that it still spreads if the store fails now.
    this.pendingAnnouncement = this.exchangeWithPeers(PEERS_WITHOUT_STORE);
  }

  private createPullReply(since: number): ConfigurationDelta | null {
    const delta = this.state.getDelta(since);
    if (delta === undefined) return null;
    return JSON.stringify(delta).length <= MAX_DELTA_BYTES ? delta : null;
  }
}
