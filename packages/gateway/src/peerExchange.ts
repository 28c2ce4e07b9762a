import type { FastifyInstance } from 'fastify';
import { pack, unpack } from 'msgpackr';
import { type Clock, getErrorMessage } from '@lovagearch/common';
import type { PeerSource, ReadResult, RowBatch, TableMirror } from '@lovagearch/mirror';
import type { StoreIndex, StoreRelay } from '@lovagearch/reuse';
import { Agent, request } from 'undici';
import * as z from 'zod';
import { PEER_COPY_MAX_AGE_MS, PEER_TIMEOUT_MS, PEERS_ASKED } from './constants.js';

const batchSchema = z.object({
  rows: z.array(
    z
      .object({ key: z.string(), version: z.number(), value: z.string().optional() })
      .transform(({ key, version, value }) => ({ key, version, value })),
  ),
  version: z.number(),
  isPartial: z.boolean(),
  ageMs: z.number(),
});

const relaySchema = z.object({
  epoch: z.number(),
  next: z.number(),
  ageMs: z.number(),
  events: z.array(
    z.object({
      isAdded: z.boolean(),
      part: z.object({ salt: z.string(), id: z.string(), tokens: z.number(), model: z.string() }),
    }),
  ),
});

/** Asks a node that watches a store VM for what changed there; undefined if it doesn't answer. */
export type StoreRelaySource = (
  peer: string,
  storeAddress: string,
  epoch: number,
  since: number,
) => Promise<StoreRelay | undefined>;

/** Serves this node's indexes of store VMs to peers that have no event call there. */
export const registerRelayRoute = (
  server: FastifyInstance,
  findIndex: (address: string) => StoreIndex | undefined,
  clock: Clock,
): void => {
  server.get<{ Params: { address: string }; Querystring: { epoch?: string; since?: string } }>(
    '/peer/stores/:address',
    (incoming, reply) => {
      const { epoch, since } = incoming.query;
      const index = findIndex(incoming.params.address);
      const relay = index?.createRelay(Number(epoch), Number(since), clock.nowMs());
      if (relay === undefined) return reply.code(404).send();
      return reply.type('application/vnd.msgpack').send(pack(relay));
    },
  );
};

/** Creates the source that asks peers for their indexes of store VMs. */
export const createRelaySource = (
  findPeerAddress: (peer: string) => string | undefined,
): StoreRelaySource => {
  const agent = new Agent({ connect: { timeout: PEER_TIMEOUT_MS }, keepAliveTimeout: 5_000 });
  return async (peer, storeAddress, epoch, since) => {
    const address = findPeerAddress(peer);
    if (address === undefined) return undefined;
    try {
      const path = `/peer/stores/${storeAddress}?epoch=${epoch}&since=${since}`;
      const answer = await request(`http://${address}${path}`, {
        dispatcher: agent,
        signal: AbortSignal.timeout(PEER_TIMEOUT_MS),
      });
      const bytes = Buffer.from(await answer.body.arrayBuffer());
      if (answer.statusCode !== 200) return undefined;
      const relay = relaySchema.safeParse(unpack(bytes));
      return relay.success ? relay.data : undefined;
    } catch {
      // The index ages and is not used until another answer comes; the watch logs the loss.
      return undefined;
    }
  };
};

/** Serves this node's copies of the store's tables to peers that the store turns away. */
export const registerPeerRoutes = (
  server: FastifyInstance,
  mirrors: readonly TableMirror[],
  clock: Clock,
): void => {
  server.get<{ Params: { table: string }; Querystring: { after?: string } }>(
    '/peer/tables/:table',
    (incoming, reply) => {
      const mirror = mirrors.find(({ table }) => table === incoming.params.table);
      const after = Number(incoming.query.after ?? '0');
      const ageMs = mirror?.getAgeMs(clock.nowMs()) ?? Number.POSITIVE_INFINITY;
      if (mirror === undefined || !Number.isSafeInteger(after) || ageMs > PEER_COPY_MAX_AGE_MS) {
        return reply.code(404).send();
      }
      const batch = mirror.createBatch(after, clock.nowMs());
      return reply.type('application/vnd.msgpack').send(pack(batch));
    },
  );
};

/**
 * Creates the source that asks peers for a table. The freshest of a few answers is used.
 *
 * @param listPeers host and port of the peers, in any order
 */
export const createPeerSource = (
  listPeers: () => readonly string[],
  random: () => number,
): PeerSource => {
  const agent = new Agent({ connect: { timeout: PEER_TIMEOUT_MS }, keepAliveTimeout: 2_000 });
  const askPeer = async (
    peer: string,
    table: string,
    afterVersion: number,
  ): Promise<RowBatch | string> => {
    try {
      const answer = await request(`http://${peer}/peer/tables/${table}?after=${afterVersion}`, {
        dispatcher: agent,
        signal: AbortSignal.timeout(PEER_TIMEOUT_MS),
      });
      const bytes = Buffer.from(await answer.body.arrayBuffer());
      if (answer.statusCode !== 200) return `${peer} answered ${answer.statusCode}`;
      const batch = batchSchema.safeParse(unpack(bytes));
      return batch.success ? batch.data : `${peer} sent an unreadable copy`;
    } catch (error) {
      return `${peer}: ${getErrorMessage(error)}`;
    }
  };
  return {
    readChanges: async (table, afterVersion): Promise<ReadResult> => {
      const peers = [...listPeers()].sort(() => random() - 0.5).slice(0, PEERS_ASKED);
      const answers = await Promise.all(peers.map((peer) => askPeer(peer, table, afterVersion)));
      let best: RowBatch | undefined;
      const reasons: string[] = [];
      for (const answer of answers) {
        if (typeof answer === 'string') reasons.push(answer);
        else if (best === undefined || answer.version > best.version) best = answer;
      }
      if (best !== undefined) return { type: 'rows', batch: best };
      const reason = reasons.length > 0 ? reasons.join('; ') : 'no peer is known';
      return { type: 'failure', failure: { type: 'unavailable', reason } };
    },
  };
};
