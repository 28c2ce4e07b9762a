import type { AccountId, AttemptId, NodeId } from '@lovagearch/common';
import { z } from 'zod';
import { MAX_HEADER_BYTES, MAX_INLINE_BODY_BYTES, MAX_KEY_LENGTH } from './constants.js';

const idSchema = z.string().min(1).max(200);
const accountSchema = idSchema.transform((value) => value as AccountId);
const attemptSchema = idSchema.transform((value) => value as AttemptId);
const nodeSchema = idSchema.transform((value) => value as NodeId);

/** Computes the bytes of all names and values of headers. */
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
  // Services may send any three digits.
  status: z.number().int().min(100).max(999),
  headers: z
    .record(z.string(), z.string())
    .refine((headers) => computeHeaderBytes(headers) <= MAX_HEADER_BYTES),
  body: recordedBodySchema,
});
/** A response as the log keeps it: inline, or by the name of an object. */
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
 * One record of the log. `released`: proved not sent, the key is free again. `abandoned`: the
 * holder reported that the attempt ended without a known outcome.
 */
export type RunRecord = z.infer<typeof runRecordSchema>;

export const segmentSchema = z.object({
  type: z.enum(['records', 'takeover']),
  owner: nodeSchema,
  /** Number of shards of the log; records of another number belong to other keys. */
  shards: z.number().int().positive(),
  /** Time since the previous segment on the owner's clock; 0 in a takeover. */
  elapsedMs: z.number().nonnegative().finite(),
  records: z.array(runRecordSchema),
});
/** One row of a shard's log. */
export type Segment = z.infer<typeof segmentSchema>;

/** Request for permission to send a call once; a repeated one carries the same attempt. */
export interface BeginRequest {
  readonly account: AccountId;
  readonly key: string;
  readonly bodyHash: string;
  readonly attempt: AttemptId;
}

/** Why the log of a shard can't be used. */
export type RunLogError =
  | { readonly type: 'bad_segment'; readonly message: string }
  | { readonly type: 'gap'; readonly expected: number; readonly found: number }
  | { readonly type: 'shard_count_changed'; readonly expected: number; readonly found: number };

/** Returns the id of a key within its shard. */
export const getRunId = (run: { readonly account: string; readonly key: string }): string =>
  `${run.account.length}:${run.account}${run.key}`;
