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
import { findHolderState } from './runHolders.js';
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
import type { NodePart } from './types.js';

export interface RunShardOwnerOptions {
  readonly shards: number;
  readonly mesh: PeerMesh;
  readonly table: TableClient;
  readonly objects: ObjectClient;
  readonly clock: Clock;
  readonly log: Logger;
  /** Live members of all regions, this node included unless it is leaving. */
  readonly listLiveMembers: () => readonly NodeId[];
  /** Tells whether a node is a member that is not dead, draining or not. */
  readonly isPresent: (node: NodeId) => boolean;
  /** Replaced by tests that move time by hand. */
  readonly schedule?: RunShardOptions['schedule'];
}

const scheduleTimer: RunShardOptions['schedule'] = (callback, delayMs) => {
  const timer = setTimeout(callback, delayMs);
  return () => clearTimeout(timer);
};

/** Returns the shard of a run. */
export const getShard = (
  run: { readonly account: string; readonly key: string },
  shards: number,
): number => computeHash32(getRunId(run)) % shards;

/** Returns the node that should own a shard; undefined without members. */
export const getShardOwner = (shard: number, members: readonly NodeId[]): NodeId | undefined =>
  getRendezvousOwners(`runs/${shard}`, members, 1)[0];

/**
 * The shards that this node owns. It answers `wrong_owner` for the others, and flushes and stops
 * a shard that has passed to another member. Two nodes that both believe to own a shard are safe:
 * the sequence number of the log admits only one of them.
 */
export class RunShardOwner implements NodePart {
  /** At most one entry for each shard of the setting. */
  private readonly owned = new Map<number, RunShard>();

  private isStopped = false;

  private constructor(private readonly options: RunShardOwnerOptions) {}

  /** Creates the owner and registers its topics. */
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
    // The holder is the node that asked; a message can't name another one.
    return shard?.handleBegin({ ...record, holder: from }) ?? { type: 'wrong_owner' };
  }

  async handleEnd(from: NodeId, message: FinishMessage | ReleaseMessage): Promise<EndReply> {
    const shard = await this.getOwnedShard(message.record, message.shards);
    return shard?.handleEnd(message.record, from) ?? { type: 'wrong_owner' };
  }

  /** Returns the numbers of the shards that this node has in memory, for the administration API. */
  listShards(): readonly number[] {
    return [...this.owned.keys()];
  }

  /** Hands over shards that passed to other members; called when the member list changes. */
  async updateOwnership(): Promise<void> {
    for (const [number, shard] of this.owned) {
      if (!this.isOwner(number)) {
        this.owned.delete(number);
        await shard.stop();
      }
    }
  }

  /** Writes what waits in each shard and stops; calls are answered with `wrong_owner` from now. */
  async stop(): Promise<void> {
    this.isStopped = true;
    const shards = [...this.owned.values()];
    this.owned.clear();
    await Promise.all(shards.map(async (shard) => shard.stop()));
  }

  private isOwner(shard: number): boolean {
    const { listLiveMembers, mesh } = this.options;
    return !this.isStopped && getShardOwner(shard, listLiveMembers()) === mesh.self;
  }

  private async getOwnedShard(
    run: { readonly account: string; readonly key: string },
    senderShards: number,
  ): Promise<RunShard | undefined> {
    const { shards } = this.options;
    if (senderShards !== shards) return undefined;
    const number = getShard(run, shards);
    const existing = this.owned.get(number);
    if (!this.isOwner(number)) {
      this.owned.delete(number);
      await existing?.stop();
      return undefined;
    }
    if (existing !== undefined) return existing;
    const created = this.createShard(number);
    this.owned.set(number, created);
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
