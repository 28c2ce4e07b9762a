import type { FastifyInstance } from 'fastify';
import * as z from 'zod';
import type { PlacementExplanation } from './explainPlacement.js';

const PART = /^([^:,]+):(\d{1,9})$/;

const countSchema = z.coerce.number().int().nonnegative().default(0);

/** Query of the route; prompt parts are given as `ID:TOKENS,ID:TOKENS`. */
const querySchema = z.object({
  host: z.string().min(1),
  path: z.string().startsWith('/'),
  account: z.string().optional(),
  model: z.string().optional(),
  parts: z
    .string()
    .default('')
    .transform((text, context) => {
      const parts: { id: string; tokens: number }[] = [];
      for (const entry of text.split(',').filter((part) => part !== '')) {
        const [, id, tokens] = PART.exec(entry) ?? [];
        if (id === undefined) {
          context.addIssue({ code: 'custom', message: `expected ID:TOKENS instead of ${entry}` });
          return z.NEVER;
        }
        parts.push({ id, tokens: Number(tokens) });
      }
      return parts;
    }),
  promptTokens: countSchema,
  outputTokens: countSchema,
  timeLimitMs: z.coerce.number().positive().optional(),
});

/** A request that is described instead of sent. */
export type DescribedRequest = z.infer<typeof querySchema>;

export type ExplainRequest = (described: DescribedRequest) => PlacementExplanation;

/** Serves explanations of where described requests would be sent, at the address for peers and operators. */
export const registerWhereRoute = (server: FastifyInstance, explain: ExplainRequest): void => {
  server.get('/peer/where', (incoming, reply) => {
    const query = querySchema.safeParse(incoming.query);
    if (query.success) return reply.send(explain(query.data));
    const faults = query.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`);
    return reply.code(400).send({ type: 'bad_request', faults });
  });
};
