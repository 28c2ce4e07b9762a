import { getErrorMessage, type Clock, type NodeId } from '@lovagearch/common';
import type { PeerMesh } from '@lovagearch/peering';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { z } from 'zod';
import {
  beginReplySchema,
  endReplySchema,
  RUN_TOPICS,
  type BeginMessage,
  type BeginReply,
  type EndReply,
  type FinishMessage,
  type ReleaseMessage,
} from './runMessages.js';
import { getShard, getShardOwner, type RunShardOwner } from './runShardOwner.js';

/** Time limit of one message to an owner, which waits for a row of the table. */
const REQUEST_TIMEOUT_MS = 1_500;
/** Tries of one call. Each carries the same attempt id, so repeating it is safe. */
const MAX_TRIES = 4;
/** Pause before the second try; it doubles for each further one. */
const FIRST_PAUSE_MS = 100;
/** Time limit of all tries of one call; below the 5 s for which a grant may be used. */
const CALL_LIMIT_MS = 4_000;

export interface RunShardRouterOptions {
  readonly shards: number;
  readonly mesh: PeerMesh;
  readonly owner: RunShardOwner;
  readonly clock: Clock;
  readonly listLiveMembers: () => readonly NodeId[];
  /** Resolves after a pause, or at once when the node stops. */
  readonly wait: (pauseMs: number) => Promise<void>;
}

/** No owner gave a usable answer; the owner may have recorded the message all the same. */
export interface RouterError {
  readonly type: 'no_answer';
}

interface Target {
  readonly record: BeginMessage['record'] | FinishMessage['record'] | ReleaseMessage['record'];
}

/**
 * Sends run messages to the owner of their shard, here or on another node, with a bounded number
 * of tries. It follows changes of ownership between the tries.
 */
export class RunShardRouter {
  private constructor(private readonly options: RunShardRouterOptions) {}

  static create(options: RunShardRouterOptions): RunShardRouter {
    return new RunShardRouter(options);
  }

  async requestBegin(record: BeginMessage['record']): Promise<Result<BeginReply, RouterError>> {
    const message: BeginMessage = { shards: this.options.shards, record };
    return this.requestOwner(message, RUN_TOPICS.begin, beginReplySchema, async () =>
      this.options.owner.handleBegin(this.options.mesh.self, message),
    );
  }

  async requestFinish(record: FinishMessage['record']): Promise<Result<EndReply, RouterError>> {
    const message: FinishMessage = { shards: this.options.shards, record };
    return this.requestOwner(message, RUN_TOPICS.finish, endReplySchema, async () =>
      this.options.owner.handleEnd(this.options.mesh.self, message),
    );
  }

  /** Sends `released` or `abandoned`. */
  async requestRelease(record: ReleaseMessage['record']): Promise<Result<EndReply, RouterError>> {
    const message: ReleaseMessage = { shards: this.options.shards, record };
    return this.requestOwner(message, RUN_TOPICS.release, endReplySchema, async () =>
      this.options.owner.handleEnd(this.options.mesh.self, message),
    );
  }

  private async requestOwner<Reply extends { readonly type: string }>(
    message: Target,
    topic: string,
    schema: z.ZodType<Reply>,
    handleLocally: () => Promise<Reply>,
  ): Promise<Result<Reply, RouterError>> {
    const { clock, wait } = this.options;
    const limitMs = clock.nowMs() + CALL_LIMIT_MS;
    for (let count = 0; count < MAX_TRIES; count++) {
      if (count > 0) await wait(FIRST_PAUSE_MS * 2 ** (count - 1));
      if (clock.nowMs() >= limitMs) break;
      const reply = await this.sendOnce(message, topic, schema, handleLocally);
      const isFinal = reply?.type !== 'wrong_owner' && reply?.type !== 'unavailable';
      if (reply !== undefined && isFinal) return ok(reply);
    }
    return err({ type: 'no_answer' });
  }

  private async sendOnce<Reply>(
    message: Target,
    topic: string,
    schema: z.ZodType<Reply>,
    handleLocally: () => Promise<Reply>,
  ): Promise<Reply | undefined> {
    const { listLiveMembers, mesh, shards } = this.options;
    const owner = getShardOwner(getShard(message.record, shards), listLiveMembers());
    if (owner === undefined) return undefined;
    if (owner === mesh.self) {
      const handled = await ResultAsync.fromPromise(handleLocally(), getErrorMessage);
      return handled.unwrapOr(undefined);
    }
    const answer = await mesh.request(owner, topic, message, REQUEST_TIMEOUT_MS);
    if (answer.isErr()) return undefined;
    const reply = schema.safeParse(answer.value);
    return reply.success ? reply.data : undefined;
  }
}
