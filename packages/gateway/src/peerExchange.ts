import type { FastifyInstance } from 'fastify';
import { pack, unpack } from 'msgpackr';
import {
  type CallResponse,
  createBoundedAgent,
  type ReceiveLimits,
  sendCall,
} from '@lovagearch/bounded-http';
import { type Clock, getErrorMessage, ProgressTimeout } from '@lovagearch/common';
import type { PeerSource, ReadResult, RowBatch, TableMirror } from '@lovagearch/mirror';
import type { StoreIndex, StoreIndexCursor, StoreIndexUpdate } from '@lovagearch/reuse';
import type { Agent } from 'undici';
import * as z from 'zod';
import {
  MAX_PEER_COPY_AGE_MS,
  MAX_PEER_RESPONSE_BYTES,
  PEER_TIMEOUT_MS,
  PEER_TRANSFER_TIMEOUT_MS,
  PEERS_PER_READ,
} from './constants.js';
import { packedRowSchema, packRow, ROW_PACKING, unpackRow } from './packedRow.js';

const batchSchema = z.object({
  rows: z.array(packedRowSchema),
  version: z.number(),
  isPartial: z.boolean(),
  gaps: z.array(z.object({ afterVersion: z.number(), untilVersion: z.number() })).optional(),
  ageMs: z.number(),
  asOfStoreMs: z.number().optional(),
  /** A node of an earlier release names neither. */
  era: z.number().optional(),
  lostKeys: z.array(z.string()).optional(),
});
const batchesSchema = z.array(z.tuple([z.string(), batchSchema]));

/** Requests a resource of a peer; a large response may take long as long as it makes progress. */
export const requestBytes = async (
  agent: Agent,
  url: string,
  limits: ReceiveLimits,
): Promise<CallResponse> => {
  const timeout = ProgressTimeout.create({
    firstMs: PEER_TIMEOUT_MS,
    gapMs: PEER_TIMEOUT_MS,
    totalMs: PEER_TRANSFER_TIMEOUT_MS,
  });
  try {
    const call = {
      url,
      method: 'GET',
      maxResponseBytes: MAX_PEER_RESPONSE_BYTES,
      signal: timeout.signal,
      onHead: () => timeout.recordProgress(),
      onBytes: (bytes: number) => timeout.recordBytes(bytes),
    } as const;
    return await sendCall(agent, call, limits);
  } finally {
    timeout.end();
  }
};

export const createPeerAgent = (): Agent =>
  createBoundedAgent({
    connectTimeoutMs: PEER_TIMEOUT_MS,
    keepAliveMs: 5_000,
    maxResponseBytes: MAX_PEER_RESPONSE_BYTES,
  });

/** How far a node knows the events of a cache store VM; `ADDRESS/EPOCH/SINCE/LOG` in a query string. */
export interface CacheStoreCursor extends StoreIndexCursor {
  readonly address: string;
}

const relaySchema = z.object({
  epoch: z.number(),
  /** A node of an earlier release names neither its index nor whether it sent all parts, or had all. */
  log: z.number().default(0),
  isPartial: z.boolean().default(true),
  isComplete: z.boolean().default(false),
  next: z.number(),
  ageMs: z.number(),
  events: z.array(
    z.object({
      isAdded: z.boolean(),
      part: z.object({ salt: z.string(), id: z.string(), tokens: z.number(), model: z.string() }),
    }),
  ),
});
const relaysSchema = z.array(z.tuple([z.string(), relaySchema]));

/** Asks a watcher for the new events of cache stores; stores that it knows nothing recent of are left out. */
export type CacheStoreRelaySource = (
  peer: string,
  cursors: readonly CacheStoreCursor[],
) => Promise<ReadonlyMap<string, StoreIndexUpdate>>;

/** Serves this node's indexes of cache stores to peers that do not watch the stores themselves. */
export const registerCacheStoreRoute = (
  server: FastifyInstance,
  findIndex: (address: string) => StoreIndex | undefined,
  clock: Clock,
): void => {
  server.get<{ Querystring: { known?: string } }>('/peer/stores', (incoming, reply) => {
    const relays: [string, StoreIndexUpdate][] = [];
    for (const cursor of (incoming.query.known ?? '').split(',')) {
      const [address = '', epoch, since, log] = cursor.split('/');
      const known = { epoch: Number(epoch), log: Number(log), since: Number(since) };
      const relay = findIndex(address)?.createUpdate(known, clock.nowMs());
      if (relay !== undefined) relays.push([address, relay]);
    }
    return reply.type('application/vnd.msgpack').send(pack(relays));
  });
};

/** Creates the source that asks peers for their indexes of cache stores. */
export const createCacheStoreRelaySource = (
  findPeerAddress: (peer: string) => string | undefined,
  limits: ReceiveLimits,
): CacheStoreRelaySource => {
  const agent = createPeerAgent();
  return async (peer, cursors) => {
    const address = findPeerAddress(peer);
    if (address === undefined) return new Map();
    const known = cursors.map(
      ({ address: store, epoch, since, log }) => `${store}/${epoch}/${since}/${log}`,
    );
    try {
      const url = `http://${address}/peer/stores?known=${known.join(',')}`;
      const { status, body } = await requestBytes(agent, url, limits);
      const relays = relaysSchema.safeParse(unpack(body));
      return new Map(status === 200 && relays.success ? relays.data : []);
    } catch {
      // The indexes age and are not used until the next response arrives; the followers log the loss.
      return new Map();
    }
  };
};

/** Version and era up to which a node knows a table; `TABLE/VERSION/ERA` in a query string. */
export interface TableCursor {
  readonly table: string;
  readonly version: number;
  readonly era: number;
}

/** `packing` names the form of large values that the caller reads; a node of an earlier release sends none. */
interface TableQuery {
  readonly known?: string;
  readonly packing?: string;
}

/** Asks a peer for the changes after each cursor; on failure, returns the reason as a string. */
export type TableRelaySource = (
  peer: string,
  cursors: readonly TableCursor[],
) => Promise<ReadonlyMap<string, RowBatch> | string>;

/**
 * Serves this node's copies of the store's tables to peers that do not read the store themselves.
 *
 * @param isServable whether a copy may be served now
 */
export const registerTableRoute = (
  server: FastifyInstance,
  mirrors: readonly TableMirror[],
  clock: Clock,
  isServable: (table: string) => boolean,
): void => {
  server.get<{ Querystring: TableQuery }>('/peer/tables', async (incoming, reply) => {
    const nowMs = clock.nowMs();
    const acceptsPackedRows = incoming.query.packing === ROW_PACKING;
    const batches: [string, unknown][] = [];
    for (const cursor of (incoming.query.known ?? '').split(',')) {
      const [table = '', version, era] = cursor.split('/');
      const afterVersion = Number(version);
      const mirror = mirrors.find((known) => known.table === table);
      if (mirror === undefined || !Number.isSafeInteger(afterVersion)) continue;
      // A node of an earlier release names no era.
      const afterEra = era === undefined ? mirror.era : Number(era);
      if (!Number.isSafeInteger(afterEra) || afterEra > mirror.era) continue;
      if (!isServable(table)) continue;
      if (mirror.getAgeMs(nowMs) > MAX_PEER_COPY_AGE_MS) continue;
      const batch = mirror.createBatch(afterVersion, nowMs, afterEra);
      const rows = acceptsPackedRows ? await Promise.all(batch.rows.map(packRow)) : batch.rows;
      batches.push([table, { ...batch, rows }]);
    }
    return reply.type('application/vnd.msgpack').send(pack(batches));
  });
};

/** Creates the source that asks one peer, given by its host and port. */
export const createTableRelaySource = (limits: ReceiveLimits): TableRelaySource => {
  const agent = createPeerAgent();
  return async (peer, cursors) => {
    const known = cursors.map(({ table, version, era }) => `${table}/${version}/${era}`).join(',');
    try {
      const url = `http://${peer}/peer/tables?known=${known}&packing=${ROW_PACKING}`;
      const { status, body } = await requestBytes(agent, url, limits);
      if (status !== 200) return `${peer} answered with status ${status}`;
      const batches = batchesSchema.safeParse(unpack(body));
      if (!batches.success) return `${peer} sent a malformed response`;
      const unpacked = new Map<string, RowBatch>();
      for (const [table, batch] of batches.data)
        unpacked.set(table, { ...batch, rows: await Promise.all(batch.rows.map(unpackRow)) });
      return unpacked;
    } catch (error) {
      return `${peer}: ${getErrorMessage(error)}`;
    }
  };
};

const isNewerBatch = (batch: RowBatch, other: RowBatch): boolean => {
  const era = batch.era ?? 0;
  const otherEra = other.era ?? 0;
  return era === otherEra ? batch.version > other.version : era > otherEra;
};

/**
 * Creates the source that asks several random peers for a table and uses the newest response.
 *
 * @param listPeers host and port of the peers, in any order
 */
export const createPeerSource = (
  relay: TableRelaySource,
  listPeers: () => readonly string[],
  random: () => number,
): PeerSource => ({
  readChanges: async (table, version, era): Promise<ReadResult> => {
    const peers = [...listPeers()].sort(() => random() - 0.5).slice(0, PEERS_PER_READ);
    const responses = await Promise.all(
      peers.map((peer) => relay(peer, [{ table, version, era }])),
    );
    let newest: RowBatch | undefined;
    const reasons: string[] = [];
    for (const response of responses) {
      const batch = typeof response === 'string' ? response : response.get(table);
      if (typeof batch === 'string') reasons.push(batch);
      else if (batch !== undefined && (newest === undefined || isNewerBatch(batch, newest))) {
        newest = batch;
      }
    }
    if (newest !== undefined) return { type: 'rows', batch: newest };
    const reason = reasons.length > 0 ? reasons.join('; ') : 'no peer has a copy of the table';
    return { type: 'failure', failure: { type: 'unavailable', reason } };
  },
});
