import type { FastifyInstance } from 'fastify';
import { pack, unpack } from 'msgpackr';
import type { ReceiveLimits } from '@lovagearch/bounded-http';
import * as z from 'zod';
import { groupsSchema, type StreamGroup } from './originSharing.js';
import { createPeerAgent, requestBytes } from './peerExchange.js';

const PATH = '/peer/streams';

/** The streams that a node has begun lately, and the software versions that it knows. All ages are in milliseconds. */
const statementSchema = z.object({
  /** Age of the node's process. */
  processAgeMs: z.number().nonnegative(),
  /** Service, software version, and age of its last use. */
  versions: z.array(z.tuple([z.string(), z.string(), z.number().nonnegative()])),
  streams: groupsSchema,
  /** Whether the node has read the store for this statement. */
  isStoreRead: z.boolean(),
});
export interface StreamStatement {
  readonly processAgeMs: number;
  readonly versions: readonly (readonly [string, string, number])[];
  readonly streams: readonly StreamGroup[];
  readonly isStoreRead: boolean;
}

/**
 * Asks a peer, given by its host and port, for the streams of the last `maxAgeMs`, and to read the store before.
 *
 * @returns undefined without an answer
 */
export type StreamStatementSource = (
  peer: string,
  maxAgeMs: number,
  isStoreReadWanted: boolean,
) => Promise<StreamStatement | undefined>;

/** Creates the statement of this node. */
export type CreateStatement = (
  maxAgeMs: number,
  isStoreReadWanted: boolean,
) => Promise<StreamStatement>;

/** Serves this node's statement to its peers. */
export const registerStreamRoute = (
  server: FastifyInstance,
  createStatement: CreateStatement,
): void => {
  server.get<{ Querystring: { age?: string; store?: string } }>(PATH, async (incoming, reply) => {
    const { age, store } = incoming.query;
    const maxAgeMs = Number(age);
    const statement = await createStatement(
      Number.isFinite(maxAgeMs) ? maxAgeMs : 0,
      store === '1',
    );
    return reply.type('application/vnd.msgpack').send(pack(statement));
  });
};

/** Creates the source that asks one peer. */
export const createStreamStatementSource = (limits: ReceiveLimits): StreamStatementSource => {
  const agent = createPeerAgent();
  return async (peer, maxAgeMs, isStoreReadWanted) => {
    try {
      const url = `http://${peer}${PATH}?age=${Math.ceil(maxAgeMs)}&store=${isStoreReadWanted ? 1 : 0}`;
      const { status, body } = await requestBytes(agent, url, limits);
      const statement = statementSchema.safeParse(unpack(body));
      return status === 200 && statement.success ? statement.data : undefined;
    } catch {
      return undefined;
    }
  };
};
