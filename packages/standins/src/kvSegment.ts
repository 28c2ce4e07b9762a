import { TOKENS_PER_BLOCK } from '@lovagearch/common';
import { createHash } from 'node:crypto';

const KEY_BYTES = 16;
const LENGTH_BYTES = 4;
const HEADER_BYTES = KEY_BYTES + LENGTH_BYTES;

export interface SegmentBlock {
  readonly key: string;
  readonly payload: Buffer;
}

/** Computes the KV payload of a block, which its key alone decides. */
export const computePayload = (key: string, kvBytesPerToken: number): Buffer =>
  Buffer.alloc(
    TOKENS_PER_BLOCK * kvBytesPerToken,
    createHash('sha256').update(`kv/${key}`).digest(),
  );

/** Encodes blocks as a segment: 16 bytes key, 4 bytes length (big endian), payload. */
export const encodeSegment = (keys: readonly string[], kvBytesPerToken: number): Buffer => {
  const pieces: Buffer[] = [];
  for (const key of keys) {
    const payload = computePayload(key, kvBytesPerToken);
    const header = Buffer.alloc(HEADER_BYTES);
    header.write(key, 0, KEY_BYTES, 'hex');
    header.writeUInt32BE(payload.length, KEY_BYTES);
    pieces.push(header, payload);
  }
  return Buffer.concat(pieces);
};

/** Decodes a segment; returns undefined if its form is broken. */
export const decodeSegment = (bytes: Buffer): SegmentBlock[] | undefined => {
  const blocks: SegmentBlock[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const start = offset + HEADER_BYTES;
    if (start > bytes.length) return undefined;
    const end = start + bytes.readUInt32BE(offset + KEY_BYTES);
    if (end > bytes.length) return undefined;
    const key = bytes.toString('hex', offset, offset + KEY_BYTES);
    blocks.push({ key, payload: bytes.subarray(start, end) });
    offset = end;
  }
  return blocks;
};
