import {
  computeHash32,
  getRendezvousOwners,
  type Clock,
  type Logger,
  type NodeId,
} from '@lovagearch/common';
import type { PeerMesh } from '@lovagearch/peering';
import type { ObjectClient, TableClient } from '@lovagearch/platform-client';
import { getRunId } from '@lovagearch/runs';
import { findHolderState } from './runHolderCheck.js';
import {
  beginMessageSchema,
  finishMessageSchema,
  releaseMessageSchema,
  RUN_TOPICS,
  type BeginMessage,
  type BeginReply,
  type EndReply,
  type FinishMessage,
  type ReleaseMessage,
} from './runMessages.js';
import { RunShard, type RunShardOptions } from './runShard.js';
import type { NodeComponent } from './types.js';

export interface RunShardOwnerOptions {
  readonly shards: number;
  readonly mesh: PeerMesh;
  readonly table: TableClient;
  readonly objects: ObjectClient;
  readonly clock: Clock;
  readonly log: Logger;
  /** Returns the live members of all regions, including this node unless it is leaving. */
  readonly listLiveMembers: () => readonly NodeId[];
  /** Returns whether a node is a member that is not dead; a draining node counts as present. */
  readonly isPresent: (node: NodeId) => boolean;
  /** Replaced in tests that control the clock. */
  readonly schedule?: RunShardOptions['schedule'];
}

const scheduleTimer: RunShardOptions['schedule'] = (callback, delayMs) => {
  const timer = setTimeout(callback, delayMs);
  return () => clearTimeout(timer);
};

/** Returns the number of the shard that a run belongs to. */
export const getShardNumber = (
  run: { readonly account: string; readonly key: string },
  shards: number,
): number => computeHash32(getRunId(run)) % shards;

/** Returns the node that owns a shard by rendezvous hashing; undefined if there are no members. */
export const getShardOwner = (shard: number, members: readonly NodeId[]): NodeId | undefined =>
  getRendezvousOwners(`runs/${shard}`, members, 1)[0];

/**
 * Manages the shards that this node owns. Messages for other shards are answered with `wrong_owner`,
 * and a shard whose ownership moved to another member is flushed and stopped. It is safe for two
 * nodes to consider themselves owner of a shard: only one of them can write the row with the next
 * sequence number of the log.
 */
export class RunShardOwner implements NodeComponent {
  /** Bounded by the configured number of shards. */
  private readonly ownedShards = new Map<number, RunShard>();

  private isStopped = false;

  private constructor(private readonly options: RunShardOwnerOptions) {}

  /** Creates the owner and registers the handlers of its topics. */
  static create(options: RunShardOwnerOptions): RunShardOwner {
    const owner = new RunShardOwner(options);
    const { mesh } = options;
    mesh.registerHandler(RUN_TOPICS.begin, beginMessageSchema, async (from, message) =>
      owner.handleBegin(from, message),
    );
    mesh.registerHandler(RUN_TOPICS.finish, finishMessageSchema, async (from, message) =>
      owner.handleEnd(from, message),
    );
    mesh.registerHandler(RUN_TOPICS.release, releaseMessageSchema, async (from, message) =>
      owner.handleEnd(from, message),
    );
    return owner;
  }

  async handleBegin(from: NodeId, { shards, record }: BeginMessage): Promise<BeginReply> {
    const shard = await this.getOwnedShard(record, shards);
    // The holder is always the sender, whatever the message says.
    return shard?.handleBegin({ ...record, holder: from }) ?? { type: 'wrong_owner' };
  }

  async handleEnd(from: NodeId, message: FinishMessage | ReleaseMessage): Promise<EndReply> {
    const shard = await this.getOwnedShard(message.record, message.shards);
    return shard?.handleEnd(message.record, from) ?? { type: 'wrong_owner' };
  }

  /** Returns the numbers of the shards in this node's memory, for the administration API. */
  listShards(): readonly number[] {
    return [...this.ownedShards.keys()];
  }

  /** Stops the shards whose ownership moved to other members; called periodically. */
  async updateOwnership(): Promise<void> {
    for (const [number, shard] of this.ownedShards) {
      if (!this.isOwner(number)) {
        this.ownedShards.delete(number);
        await shard.stop();
      }
    }
  }

  /** Flushes and stops all shards; from then on, messages are answered with `wrong_owner`. */
  async stop(): Promise<void> {
    this.isStopped = true;
    const shards = [...this.ownedShards.values()];
    this.ownedShards.clear();
    await Promise.all(shards.map(async (shard) => shard.stop()));
  }

  private isOwner(shard: number): boolean {
    const { listLiveMembers, mesh } = this.options;
    return !this.isStopped && getShardOwner(shard, listLiveMembers()) === mesh.self;
  }

  private async getOwnedShard(
    run: { readonly account: string; readonly key: string },
    senderShardCount: number,
  ): Promise<RunShard | undefined> {
    const { shards } = this.options;
    if (senderShardCount !== shards) return undefined;
    const number = getShardNumber(run, shards);
    const existing = this.ownedShards.get(number);
    if (!this.isOwner(number)) {
      this.ownedShards.delete(number);
      await existing?.stop();
      return undefined;
    }
    if (existing !== undefined) return existing;
    const created = this.createShard(number);
    this.ownedShards.set(number, created);
    return created;
  }

  private createShard(shard: number): RunShard {
    const { mesh, isPresent, schedule = scheduleTimer, ...rest } = this.options;
    return RunShard.create({
      ...rest,
      shard,
      self: mesh.self,
      schedule,
      findHolderState: async (holder, attempt) =>
        findHolderState({ mesh, isPresent }, holder, attempt),
    });
  }
}
