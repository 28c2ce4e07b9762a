import { BodyBuffer, createReceiveLimits, readJson } from '@lovagearch/bounded-http';
import { z } from 'zod';
import { MAX_RESPONSE_BYTES } from './constants.js';
import { type EngineError, engineLoadSchema } from './types.js';

const errorBodySchema = z.object({
  error: z.object({
    type: z.string(),
    message: z.string().default(''),
    run: z.string().optional(),
  }),
  load: engineLoadSchema.optional(),
});

/** Parses JSON; returns undefined if the text is not valid JSON. */
export const parseJson = (text: string): unknown => readJson(Buffer.from(text));

/** Reads a body to its end; throws if it is larger than `MAX_RESPONSE_BYTES`. */
export const readBoundedText = async (body: AsyncIterable<Buffer>): Promise<string> => {
  const buffer = BodyBuffer.create(MAX_RESPONSE_BYTES, createReceiveLimits().memory);
  for await (const chunk of body) {
    if (buffer.add(chunk) !== 'added') throw new Error('the response body is too large');
  }
  return buffer.getBytes().toString('utf8');
};

/**
 * Parses an error response.
 *
 * @param mustPromiseNotRun whether a response without `run: "not_run"` is a protocol violation, since
 *   a `refused` error guarantees that nothing ran
 */
export const parseErrorResponse = (
  status: number,
  text: string,
  mustPromiseNotRun: boolean,
): EngineError => {
  const parsed = errorBodySchema.safeParse(parseJson(text));
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
