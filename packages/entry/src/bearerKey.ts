import { createHash, timingSafeEqual } from 'node:crypto';

const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,512})$/i;

/**
 * Computes the SHA-256 of the bearer key in an `authorization` header.
 *
 * @returns 64 hex digits, or undefined if the header has no bearer key
 * @example
 * computeBearerKeyHash('Bearer secret'); // '2bb80d53...'
 */
export const computeBearerKeyHash = (header: string | undefined): string | undefined => {
  const key = BEARER_PATTERN.exec(header ?? '')?.[1];
  return key === undefined ? undefined : createHash('sha256').update(key).digest('hex');
};

/** Compares two hashes in constant time; hashes of different lengths are unequal. */
export const areHashesEqual = (left: string, right: string): boolean => {
  const leftBytes = Buffer.from(left, 'utf8');
  const rightBytes = Buffer.from(right, 'utf8');
  return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
};

/**
 * Checks whether a list contains a hash, in a time that does not reveal which entry matches.
 *
 * @example
 * isHashInList(hash, settings.operatorKeySha256);
 */
export const isHashInList = (hash: string, allowed: readonly string[]): boolean => {
  let isFound = false;
  for (const candidate of allowed) {
    if (areHashesEqual(hash, candidate)) isFound = true;
  }
  return isFound;
};
