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
import { getShardNumber, getShardOwner, type RunShardOwner } from './runShardOwner.js';

/** Timeout of one message to a shard owner, which replies after its table write. */
const REQUEST_TIMEOUT_MS = 1_500;
/** Tries for one message. All carry the same attempt id, so that a repetition is safe. */
const MAX_TRIES = 4;
/** Delay before the second try; it doubles with each further try. */
const FIRST_RETRY_DELAY_MS = 100;
/** Timeout of all tries for one message; below the 5 s for which a grant is valid. */
const TOTAL_TIMEOUT_MS = 4_000;

export interface RunShardRouterOptions {
  readonly shards: number;
  readonly mesh: PeerMesh;
  readonly owner: RunShardOwner;
  readonly clock: Clock;
  readonly listLiveMembers: () => readonly NodeId[];
  /** Resolves after a delay. */
  readonly wait: (delayMs: number) => Promise<void>;
}

/** No owner returned a final reply in time; the message may nevertheless have been recorded. */
export interface RouterError {
  readonly type: 'no_answer';
}

interface RoutedMessage {
  readonly record: BeginMessage['record'] | FinishMessage['record'] | ReleaseMessage['record'];
}

/**
 * Sends run messages to the owner of their shard, on this or another node, with a bounded number of
 * tries. The owner is determined anew for each try, so that changes of ownership are followed.
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

  /** Sends a `released` or `abandoned` record to the owner. */
  async requestRelease(record: ReleaseMessage['record']): Promise<Result<EndReply, RouterError>> {
    const message: ReleaseMessage = { shards: this.options.shards, record };
    return this.requestOwner(message, RUN_TOPICS.release, endReplySchema, async () =>
      this.options.owner.handleEnd(this.options.mesh.self, message),
    );
  }

  private async requestOwner<Reply extends { readonly type: string }>(
    message: RoutedMessage,
    topic: string,
    schema: z.ZodType<Reply>,
    handleLocally: () => Promise<Reply>,
  ): Promise<Result<Reply, RouterError>> {
    const { clock, wait } = this.options;
    const deadlineMs = clock.nowMs() + TOTAL_TIMEOUT_MS;
    for (let count = 0; count < MAX_TRIES; count++) {
      if (count > 0) await wait(FIRST_RETRY_DELAY_MS * 2 ** (count - 1));
      if (clock.nowMs() >= deadlineMs) break;
      const reply = await this.sendOnce(message, topic, schema, handleLocally);
      const isFinal = reply?.type !== 'wrong_owner' && reply?.type !== 'unavailable';
      if (reply !== undefined && isFinal) return ok(reply);
    }
    return err({ type: 'no_answer' });
  }

  private async sendOnce<Reply>(
    message: RoutedMessage,
    topic: string,
    schema: z.ZodType<Reply>,
    handleLocally: () => Promise<Reply>,
  ): Promise<Reply | undefined> {
    const { listLiveMembers, mesh, shards } = this.options;
    const owner = getShardOwner(getShardNumber(message.record, shards), listLiveMembers());
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
