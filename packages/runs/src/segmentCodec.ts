import { getErrorMessage } from '@lovagearch/common';
import { Packr } from 'msgpackr';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { MAX_SEGMENT_BYTES } from './constants.js';
import { segmentSchema, type RunLogError, type RunRecord, type Segment } from './types.js';

/**
 * Plain msgpack without shared record structures, because each row must be decodable on its own.
 */
const packr = new Packr({ useRecords: false });

/** Bytes reserved for a segment's own fields, in addition to its records. */
const SEGMENT_OVERHEAD_BYTES = 1_024;

const rowValueSchema = z.object({
  v: z.literal(1),
  data: z.string().max(Math.ceil((MAX_SEGMENT_BYTES + SEGMENT_OVERHEAD_BYTES) / 3) * 4),
});
export type SegmentRowValue = z.infer<typeof rowValueSchema>;

/** Computes the encoded size of a record in bytes. */
export const computeRecordBytes = (record: RunRecord): number => packr.pack(record).length;

/**
 * Encodes a segment as the JSON value of a table row.
 *
 * @example
 * encodeSegment({ type: 'takeover', owner, shards: 8, elapsedMs: 0, records: [] });
 */
export const encodeSegment = (segment: Segment): SegmentRowValue => ({
  v: 1,
  data: packr.pack(segment).toString('base64'),
});

const unpackBytes = (bytes: Buffer): Result<unknown, RunLogError> => {
  try {
    return ok(packr.unpack(bytes));
  } catch (error) {
    return err({ type: 'bad_segment', message: getErrorMessage(error) });
  }
};

/** Decodes a row's value; returns `bad_segment` for any invalid value. */
export const decodeSegment = (value: unknown): Result<Segment, RunLogError> => {
  const row = rowValueSchema.safeParse(value);
  if (!row.success)
    return err({ type: 'bad_segment', message: 'the value of the row is not an encoded segment' });
  return unpackBytes(Buffer.from(row.data.data, 'base64')).andThen((content) => {
    const segment = segmentSchema.safeParse(content);
    return segment.success
      ? ok(segment.data)
      : err({ type: 'bad_segment' as const, message: 'the segment has missing or invalid fields' });
  });
};
