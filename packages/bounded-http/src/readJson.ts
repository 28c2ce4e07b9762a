import { MAX_JSON_VALUES } from './constants.js';

const COMMA = 0x2c;
const OPENING_BRACKET = 0x5b;
const OPENING_BRACE = 0x7b;

/** Whether a text has no more values than a proper one; an empty object in it takes 20 times the memory of its text. */
const hasFewValues = (bytes: Uint8Array): boolean => {
  let values = 0;
  for (let position = 0; position < bytes.length; position++) {
    const byte = bytes[position];
    if (byte === COMMA || byte === OPENING_BRACKET || byte === OPENING_BRACE) values += 1;
  }
  return values <= MAX_JSON_VALUES;
};

/**
 * Parses JSON from another party.
 *
 * @returns undefined if the bytes are no JSON or would take much more memory than their length
 * @example
 * const parsed = schema.safeParse(readJson(response.body));
 */
export const readJson = (bytes: Buffer): unknown => {
  if (!hasFewValues(bytes)) return undefined;
  try {
    return JSON.parse(bytes.toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
};
