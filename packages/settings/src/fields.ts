import { z } from 'zod';

const SHA256_PATTERN = /^[0-9a-f]{64}$/;

/**
 * Creates a schema for an integer within bounds. All errors of the field have the same message, so
 * that an operator sees the bounds even if the type is wrong.
 *
 * @param unit unit of the number, for example `milliseconds`
 * @example
 * createIntegerField(0, 65_535).parse(8080);
 */
export const createIntegerField = (min: number, max: number, unit?: string) => {
  const typeName = unit === undefined ? 'an integer' : `a whole number of ${unit}`;
  const error = `expected ${typeName} from ${min} to ${max}`;
  return z.number({ error }).int({ error }).min(min, { error }).max(max, { error });
};

/** Creates a schema for a number within bounds. */
export const createNumberField = (min: number, max: number) => {
  const error = `expected a number from ${min} to ${max}`;
  return z.number({ error }).min(min, { error }).max(max, { error });
};

/** Creates a schema for a non-empty string. */
export const createStringField = (maxLength = 1_024) => {
  const error = `expected a string of 1 to ${maxLength} characters`;
  return z.string({ error }).min(1, { error }).max(maxLength, { error });
};

/** Creates a schema for a string that matches a pattern. */
export const createPatternField = (pattern: RegExp, description: string) => {
  const error = `expected ${description}`;
  return z.string({ error }).regex(pattern, { error });
};

/** Creates a schema for a SHA-256 digest in lower case hexadecimal. */
export const createSha256Field = () =>
  createPatternField(SHA256_PATTERN, 'a SHA-256 digest of 64 lower case hexadecimal digits');
