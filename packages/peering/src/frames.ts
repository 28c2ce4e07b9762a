import { Packr } from 'msgpackr';
import { assertNever } from '@lovagearch/common';
import { z } from 'zod';

/** A message on an authenticated connection. */
export type PeerFrame =
  | { readonly type: 'one_way'; readonly topic: string; readonly payload: unknown }
  | {
      readonly type: 'request';
      readonly id: number;
      readonly topic: string;
      readonly payload: unknown;
    }
  | { readonly type: 'reply'; readonly id: number; readonly payload: unknown }
  | {
      readonly type: 'error_reply';
      readonly id: number;
      readonly reason: string;
      readonly message: string;
    }
  | { readonly type: 'ping' }
  | { readonly type: 'pong' };

// With records, object structures that a peer defines would persist after the message.
const packr = new Packr({ useRecords: false });

const idSchema = z.number().int().nonnegative();
const topicSchema = z.string().min(1).max(64);
const errorSchema = z.object({ type: z.string().max(64), message: z.string().max(1_024) });
const wireSchema = z.union([
  z.tuple([z.literal(0), idSchema, topicSchema, z.unknown()]),
  z.tuple([z.literal(1), idSchema, topicSchema, z.unknown()]),
  z.tuple([z.literal(2), idSchema, z.string(), z.unknown()]),
  z.tuple([z.literal(3), idSchema, z.string(), errorSchema]),
  z.tuple([z.literal(4), idSchema, z.string(), z.unknown()]),
  z.tuple([z.literal(5), idSchema, z.string(), z.unknown()]),
]);

/** Encodes a value as MessagePack. */
export const encodeValue = (value: unknown): Buffer => packr.pack(value);

/** Decodes MessagePack; returns undefined if the bytes are invalid. */
export const decodeValue = (bytes: Uint8Array): unknown => {
  try {
    return packr.unpack(bytes);
  } catch {
    return undefined;
  }
};

/**
 * Encodes a frame as `[kind, id, topic, payload]`.
 *
 * @example
 * encodeFrame({ type: 'one_way', topic: 'load.rows', payload: bytes });
 */
export const encodeFrame = (frame: PeerFrame): Buffer => {
  switch (frame.type) {
    case 'one_way':
      return encodeValue([0, 0, frame.topic, frame.payload]);
    case 'request':
      return encodeValue([1, frame.id, frame.topic, frame.payload]);
    case 'reply':
      return encodeValue([2, frame.id, '', frame.payload]);
    case 'error_reply':
      return encodeValue([3, frame.id, '', { type: frame.reason, message: frame.message }]);
    case 'ping':
      return encodeValue([4, 0, '', null]);
    case 'pong':
      return encodeValue([5, 0, '', null]);
    default:
      return assertNever(frame);
  }
};

/** Decodes a frame; returns undefined if the bytes are not a valid frame. */
export const decodeFrame = (bytes: Uint8Array): PeerFrame | undefined => {
  const parsed = wireSchema.safeParse(decodeValue(bytes));
  if (!parsed.success) return undefined;
  const wire = parsed.data;
  switch (wire[0]) {
    case 0:
      return { type: 'one_way', topic: wire[2], payload: wire[3] };
    case 1:
      return { type: 'request', id: wire[1], topic: wire[2], payload: wire[3] };
    case 2:
      return { type: 'reply', id: wire[1], payload: wire[3] };
    case 3:
      return { type: 'error_reply', id: wire[1], reason: wire[3].type, message: wire[3].message };
    case 4:
      return { type: 'ping' };
    case 5:
      return { type: 'pong' };
    default:
      return assertNever(wire[0]);
  }
};
