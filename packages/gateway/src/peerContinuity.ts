import type { FastifyInstance } from 'fastify';
import { pack, unpack } from 'msgpackr';
import type { ReceiveLimits } from '@lovagearch/bounded-http';
import * as z from 'zod';
import { createPeerAgent, requestBytes } from './peerExchange.js';

const PATH = '/peer/continuity';

const continuitySchema = z.object({ uninterruptedMs: z.number().nonnegative() });

/**
 * Asks a peer, given by its host and port, for how long it has followed the registrations without an interruption.
 *
 * @returns milliseconds, or undefined without an answer
 */
export type ContinuitySource = (peer: string) => Promise<number | undefined>;

/** Serves the time for which this node has followed the registrations without an interruption. */
export const registerContinuityRoute = (
  server: FastifyInstance,
  getUninterruptedMs: () => number,
): void => {
  server.get(PATH, (_incoming, reply) =>
    reply
      .type('application/vnd.msgpack')
      .send(pack({ uninterruptedMs: Math.floor(getUninterruptedMs()) })),
  );
};

/** Creates the source that asks one peer; nodes of an earlier release have no answer. */
export const createContinuitySource = (limits: ReceiveLimits): ContinuitySource => {
  const agent = createPeerAgent();
  return async (peer) => {
    try {
      const { status, body } = await requestBytes(agent, `http://${peer}${PATH}`, limits);
      const answer = continuitySchema.safeParse(status === 200 ? unpack(body) : undefined);
      return answer.data?.uninterruptedMs;
    } catch {
      return undefined;
    }
  };
};
