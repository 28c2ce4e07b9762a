import { HEAD_BYTE_FACTOR, HEAD_FIELD_BYTES, MAX_SLICE_BYTES, REQUEST_BYTES } from './constants.js';

/** Bytes of a chunked body that the parser gets at a time; each of its chunks may have one byte. */
const MAX_CHUNKS_SLICE_BYTES = 4_096;
const LINE_FEED = 10;
const DIGIT_ZERO = 48;
/** Size up to which the fields of a head aren't counted, in bytes; a field has 30 bytes and more there. */
const MAX_USUAL_HEAD_BYTES = 2_048;
const USUAL_FIELD_BYTES = 30;

/** What the next bytes of a connection belong to. */
export type RequestPhase =
  | { readonly type: 'chunks' }
  | { readonly type: 'head' }
  | { readonly type: 'length'; readonly remainingBytes: number };

const EMPTY_LINE = Buffer.from('\n\r\n');
const BARE_EMPTY_LINE = Buffer.from('\n\n');
const LAST_CHUNK_START = Buffer.from('\n0');

const limitLength = (bytes: Buffer, maxBytes: number): Buffer =>
  bytes.length > maxBytes ? bytes.subarray(0, maxBytes) : bytes;

/** Returns the end of the first empty line from a position, or -1; parsers may take single line feeds as well. */
const findEmptyLineEnd = (bytes: Buffer, from: number): number => {
  const withReturn = bytes.indexOf(EMPTY_LINE, from);
  const bare = bytes.indexOf(BARE_EMPTY_LINE, from);
  if (bare >= 0 && (withReturn < 0 || bare < withReturn)) return bare + BARE_EMPTY_LINE.length;
  return withReturn < 0 ? -1 : withReturn + EMPTY_LINE.length;
};

/** Returns a position from which the last chunk may begin, which has the size 0, or -1. */
const findLastChunk = (bytes: Buffer): number =>
  bytes[0] === DIGIT_ZERO ? 0 : bytes.indexOf(LAST_CHUNK_START);

/**
 * Returns how many of the received bytes the parser gets next, so that it parses one request at a time: up to the end
 * of a head, or of a body.
 *
 * @example
 * const slice = received.subarray(0, findSliceEnd(received, { type: 'head' }));
 */
export const findSliceEnd = (received: Buffer, phase: RequestPhase): number => {
  switch (phase.type) {
    case 'head': {
      const bytes = limitLength(received, MAX_SLICE_BYTES);
      const end = findEmptyLineEnd(bytes, 0);
      // Empty lines before a request line are skipped by the parser.
      return end < 0 ? bytes.length : end;
    }
    case 'length':
      return Math.min(received.length, phase.remainingBytes);
    case 'chunks': {
      const bytes = limitLength(received, MAX_CHUNKS_SLICE_BYTES);
      const lastChunk = findLastChunk(bytes);
      const end = lastChunk < 0 ? -1 : findEmptyLineEnd(bytes, lastChunk);
      return end < 0 ? bytes.length : end;
    }
    default:
      return phase satisfies never;
  }
};

/** Estimates the memory that a head, or a part of one, takes until its request has ended, in bytes. */
export const estimateHeadBytes = (head: Buffer): number => {
  let fields = head.length / USUAL_FIELD_BYTES;
  if (head.length > MAX_USUAL_HEAD_BYTES) {
    fields = 0;
    for (const byte of head) if (byte === LINE_FEED) fields += 1;
  }
  return head.length * HEAD_BYTE_FACTOR + fields * HEAD_FIELD_BYTES;
};

/** Estimates the memory of a request that begins with a head. */
export const estimateRequestBytes = (head: Buffer): number =>
  REQUEST_BYTES + estimateHeadBytes(head);
