import { computeSha256Hex } from '@lovagearch/common';

const toCanonicalValue = (value: unknown): unknown => {
  if (Array.isArray(value)) return value.map(toCanonicalValue);
  if (typeof value !== 'object' || value === null) return value;
  const pairs = Object.entries(value).filter(([, item]) => item !== undefined);
  pairs.sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries(pairs.map(([key, item]) => [key, toCanonicalValue(item)]));
};

/**
 * Encodes a JSON value with sorted keys and without whitespace, so that equal values have equal
 * bytes.
 *
 * @example
 * encodeCanonicalJson({ b: 1, a: [true] }); // '{"a":[true],"b":1}'
 */
export const encodeCanonicalJson = (value: unknown): string =>
  JSON.stringify(toCanonicalValue(value));

/** Computes the SHA-256 digest of a value's canonical JSON, in hexadecimal. */
export const computeDigest = (value: unknown): string =>
  computeSha256Hex(encodeCanonicalJson(value));
