import { z } from 'zod';
import { MAX_RESPONSE_BYTES } from './constants.js';
import { type EngineError, engineLoadSchema } from './types.js';

const refusalSchema = z.object({
  error: z.object({
    type: z.string(),
    message: z.string().default(''),
    run: z.string().optional(),
  }),
  load: engineLoadSchema.optional(),
});

/** Parses JSON; returns undefined if the text is not valid JSON. */
export const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
};

/** Reads a body to its end; throws if it is larger than `MAX_RESPONSE_BYTES`. */
export const readBoundedText = async (body: AsyncIterable<Buffer>): Promise<string> => {
  const pieces: Buffer[] = [];
  let bytes = 0;
  for await (const piece of body) {
    bytes += piece.length;
    if (bytes > MAX_RESPONSE_BYTES) throw new Error('the response body is too large');
    pieces.push(piece);
  }
  return Buffer.concat(pieces).toString('utf8');
};

/**
 * Parses an error response.
 *
 * @param mustPromiseNotRun whether a response without `run: "not_run"` is a protocol violation, since
 *   a `refused` error guarantees that nothing ran
 */
export const parseRefusal = (
  status: number,
  text: string,
  mustPromiseNotRun: boolean,
): EngineError => {
  const parsed = refusalSchema.safeParse(parseJson(text));
  if (!parsed.success || (mustPromiseNotRun && parsed.data.error.run !== 'not_run')) {
    return { type: 'protocol_violation', message: `unexpected response with status ${status}` };
  }
  const { error, load } = parsed.data;
  return {
    type: 'refused',
    status,
    reason: error.type,
    message: error.message,
    ...(load === undefined ? {} : { load }),
  };
};
