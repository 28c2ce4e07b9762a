import { runRecordSchema, storedResponseSchema } from '@lovagearch/runs';
import { z } from 'zod';

/** Topics of the messages between nodes about the run log. */
export const RUN_TOPICS = {
  begin: 'runs.begin',
  finish: 'runs.finish',
  release: 'runs.release',
  holds: 'runs.holds',
} as const;

const [begunSchema, finishedSchema, releasedSchema, abandonedSchema] = runRecordSchema.options;

/**
 * Shard count of the sender. A receiver with a different count maps keys to other shards and must
 * not handle the message.
 */
const shardCountSchema = z.number().int().positive();

export const beginMessageSchema = z.object({ shards: shardCountSchema, record: begunSchema });
export const finishMessageSchema = z.object({ shards: shardCountSchema, record: finishedSchema });
export const releaseMessageSchema = z.object({
  shards: shardCountSchema,
  record: z.discriminatedUnion('type', [releasedSchema, abandonedSchema]),
});

/** Checks whether a node still holds an attempt. */
export const holdsMessageSchema = z.object({ attempt: begunSchema.shape.attempt });
export const holdsReplySchema = z.object({ isHeld: z.boolean() });

export type BeginMessage = z.infer<typeof beginMessageSchema>;
export type FinishMessage = z.infer<typeof finishMessageSchema>;
export type ReleaseMessage = z.infer<typeof releaseMessageSchema>;

/** Replies of a node that did not handle the message. */
const refusalSchemas = [
  z.object({ type: z.literal('wrong_owner') }),
  z.object({ type: z.literal('unavailable') }),
] as const;

export const beginReplySchema = z.discriminatedUnion('type', [
  ...refusalSchemas,
  z.object({ type: z.literal('granted') }),
  z.object({ type: z.literal('recorded'), response: storedResponseSchema }),
  z.object({ type: z.literal('recorded_unreadable') }),
  z.object({ type: z.literal('in_progress') }),
  z.object({ type: z.literal('unknown') }),
  z.object({ type: z.literal('key_reused') }),
  z.object({ type: z.literal('attempt_over') }),
  z.object({ type: z.literal('full') }),
]);
/**
 * Reply to a begin. `recorded_unreadable`: the call ran, but its response can't be read from the
 * store at present.
 */
export type BeginReply = z.infer<typeof beginReplySchema>;

export const endReplySchema = z.discriminatedUnion('type', [
  ...refusalSchemas,
  z.object({ type: z.literal('recorded') }),
  z.object({ type: z.literal('not_holder') }),
]);
export type EndReply = z.infer<typeof endReplySchema>;
