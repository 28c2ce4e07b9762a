import type { AccountId, AttemptId, NodeId } from '@lovagearch/common';
import { z } from 'zod';
import { MAX_HEADER_BYTES, MAX_INLINE_BODY_BYTES, MAX_KEY_LENGTH } from './constants.js';

const idSchema = z.string().min(1).max(200);
const accountSchema = idSchema.transform((value) => value as AccountId);
const attemptSchema = idSchema.transform((value) => value as AttemptId);
const nodeSchema = idSchema.transform((value) => value as NodeId);

/** Computes the total size of all header names and values, in bytes. */
export const computeHeaderBytes = (headers: Readonly<Record<string, string>>): number => {
  let bytes = 0;
  for (const [name, value] of Object.entries(headers)) {
    bytes += Buffer.byteLength(name) + Buffer.byteLength(value);
  }
  return bytes;
};

export const recordedBodySchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('inline'),
    bytes: z.custom<Uint8Array>(
      (value) => value instanceof Uint8Array && value.length <= MAX_INLINE_BODY_BYTES,
    ),
  }),
  z.object({ type: z.literal('object'), name: idSchema, length: z.number().int().nonnegative() }),
]);

export const storedResponseSchema = z.object({
  // Services may send any three-digit status.
  status: z.number().int().min(100).max(999),
  headers: z
    .record(z.string(), z.string())
    .refine((headers) => computeHeaderBytes(headers) <= MAX_HEADER_BYTES),
  body: recordedBodySchema,
});
/** A response as stored in the log: the body inline, or the name of the object that holds it. */
export type StoredResponse = z.infer<typeof storedResponseSchema>;

const attemptFields = {
  account: accountSchema,
  key: z.string().min(1).max(MAX_KEY_LENGTH),
  bodyHash: idSchema,
  attempt: attemptSchema,
};

export const runRecordSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('begun'), ...attemptFields, holder: nodeSchema }),
  z.object({ type: z.literal('finished'), ...attemptFields, response: storedResponseSchema }),
  z.object({ type: z.literal('released'), ...attemptFields }),
  z.object({ type: z.literal('abandoned'), ...attemptFields }),
]);
/**
 * One record of the log. `released`: the call was certainly not sent, so the key is free again.
 * `abandoned`: the holder reported that the attempt ended without a known outcome.
 */
export type RunRecord = z.infer<typeof runRecordSchema>;

export const segmentSchema = z.object({
  type: z.enum(['records', 'takeover']),
  owner: nodeSchema,
  /** Number of shards of the log. With another number, keys are assigned to other shards. */
  shards: z.number().int().positive(),
  /** Time since the previous segment on the owner's clock; 0 in a takeover. */
  elapsedMs: z.number().nonnegative().finite(),
  records: z.array(runRecordSchema),
});
/** One row of a shard's log. */
export type Segment = z.infer<typeof segmentSchema>;

/** Request for permission to send a call once. A repeated request carries the same attempt. */
export interface BeginRequest {
  readonly account: AccountId;
  readonly key: string;
  readonly bodyHash: string;
  readonly attempt: AttemptId;
}

/** Reason why the log of a shard is unusable. */
export type RunLogError =
  | { readonly type: 'bad_segment'; readonly message: string }
  | { readonly type: 'gap'; readonly expected: number; readonly found: number }
  | { readonly type: 'shard_count_changed'; readonly expected: number; readonly found: number };

/** Returns the id of a run within its shard, unique for the pair of account and key. */
export const getRunId = (run: { readonly account: string; readonly key: string }): string =>
  `${run.account.length}:${run.account}${run.key}`;
