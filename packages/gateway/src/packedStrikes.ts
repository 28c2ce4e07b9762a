import { createHash } from 'node:crypto';
import { type Fingerprint, toId } from '@lovagearch/common';

const FINGERPRINT_BYTES = 9;
const START_BYTES = 6;
const AGE_BYTES = 3;
const STRIKE_BYTES = FINGERPRINT_BYTES + START_BYTES + AGE_BYTES;
const MAX_AGE_MS = 2 ** (AGE_BYTES * 8) - 1;

/** Length of a fingerprint, in characters; its bytes are random enough to tell the requests of a deployment apart. */
export const FINGERPRINT_LENGTH = (FINGERPRINT_BYTES / 3) * 4;

/** Presumed part of a request in a crash, in the form in which nodes exchange many of them. */
export interface PackedStrike {
  /** Has `FINGERPRINT_LENGTH` characters. */
  readonly fingerprint: Fingerprint;
  /** Id of the start of the endpoint, from `computeStartId`. */
  readonly startId: string;
  /** Age of the crash when the strikes are packed, in milliseconds. */
  readonly ageMs: number;
}

/** Returns a short id of one start of an endpoint's process. */
export const computeStartId = (endpointStart: string): string =>
  createHash('sha1').update(endpointStart).digest().toString('base64url', 0, START_BYTES);

/**
 * Packs strikes into text: when many endpoints crash at once, each node has some, and all nodes copy those of all.
 *
 * @example
 * const packed = packStrikes([{ fingerprint, startId: computeStartId('i-7/1700000000000'), ageMs: 350 }]);
 * unpackStrikes(packed)?.length; // 1
 */
export const packStrikes = (strikes: readonly PackedStrike[]): string => {
  const bytes = Buffer.alloc(strikes.length * STRIKE_BYTES);
  for (const [index, { fingerprint, startId, ageMs }] of strikes.entries()) {
    const offset = index * STRIKE_BYTES;
    const age = Math.min(MAX_AGE_MS, Math.max(0, Math.round(ageMs)));
    bytes.write(fingerprint, offset, FINGERPRINT_BYTES, 'base64url');
    bytes.write(startId, offset + FINGERPRINT_BYTES, START_BYTES, 'base64url');
    bytes.writeUIntBE(age, offset + FINGERPRINT_BYTES + START_BYTES, AGE_BYTES);
  }
  return bytes.toString('base64url');
};

/** Returns undefined if the text holds no strikes. */
export const unpackStrikes = (text: string): PackedStrike[] | undefined => {
  const bytes = Buffer.from(text, 'base64url');
  if (bytes.length % STRIKE_BYTES !== 0) return undefined;
  const strikes: PackedStrike[] = [];
  for (let offset = 0; offset < bytes.length; offset += STRIKE_BYTES) {
    const startOffset = offset + FINGERPRINT_BYTES;
    const ageOffset = startOffset + START_BYTES;
    strikes.push({
      fingerprint: toId<Fingerprint>(bytes.toString('base64url', offset, startOffset)),
      startId: bytes.toString('base64url', startOffset, ageOffset),
      ageMs: bytes.readUIntBE(ageOffset, AGE_BYTES),
    });
  }
  return strikes;
};
