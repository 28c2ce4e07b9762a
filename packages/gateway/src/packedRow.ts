import { promisify } from 'node:util';
import { deflateRaw, inflateRaw } from 'node:zlib';
import type { MirroredRow } from '@lovagearch/mirror';
import * as z from 'zod';
import { MAX_PEER_RESPONSE_BYTES, MIN_COMPRESSED_VALUE_LENGTH } from './constants.js';

const compress = promisify(deflateRaw);
const decompress = promisify(inflateRaw);

/** Name of the form in which this release packs rows for peers. */
export const ROW_PACKING = 'deflate';

/** Fast compression; a configuration of many routes consists of repetitions. */
const COMPRESSION_LEVEL = 1;

/** A row as peers exchange it. A large value is compressed: its text, or the bytes that it encodes in base64. */
export const packedRowSchema = z.object({
  key: z.string(),
  version: z.number(),
  era: z.number().optional(),
  value: z.string().optional(),
  packed: z
    .object({ encoding: z.enum(['base64', 'utf8']), bytes: z.instanceof(Uint8Array) })
    .optional(),
});
export type PackedRow = z.infer<typeof packedRowSchema>;

/** Rows of copies are immutable, and many peers ask for the same ones. */
const packedRows = new WeakMap<MirroredRow, Promise<PackedRow>>();

const compressRow = async (
  { key, version, era }: MirroredRow,
  value: string,
): Promise<PackedRow> => {
  // Base64 hides repetitions from the compression.
  const decoded = Buffer.from(value, 'base64');
  const encoding = decoded.toString('base64') === value ? 'base64' : 'utf8';
  const raw = encoding === 'base64' ? decoded : Buffer.from(value, 'utf8');
  const bytes = await compress(raw, { level: COMPRESSION_LEVEL });
  return { key, version, era, packed: { encoding, bytes } };
};

/**
 * Packs a row for peers.
 *
 * @example
 * const sent = await packRow(row);
 * const received = await unpackRow(packedRowSchema.parse(sent));
 */
export const packRow = async (row: MirroredRow): Promise<PackedRow> => {
  const { key, version, era, value } = row;
  if (value === undefined || value.length < MIN_COMPRESSED_VALUE_LENGTH)
    return { key, version, era, value };
  const known = packedRows.get(row);
  if (known !== undefined) return known;
  const packed = compressRow(row, value);
  packedRows.set(row, packed);
  return packed;
};

/**
 * Unpacks a row of a peer.
 *
 * @returns a promise that fails if the value can't be decompressed or is too large
 */
export const unpackRow = async ({
  key,
  version,
  era,
  value,
  packed,
}: PackedRow): Promise<MirroredRow> => {
  if (packed === undefined) return { key, version, era, value };
  const raw = await decompress(packed.bytes, { maxOutputLength: MAX_PEER_RESPONSE_BYTES });
  return { key, version, era, value: raw.toString(packed.encoding) };
};
