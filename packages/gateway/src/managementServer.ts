import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { fastify, type FastifyInstance } from 'fastify';
import type { Clock } from '@lovagearch/common';
import type { TableMirror } from '@lovagearch/mirror';
import type { StoreIndex } from '@lovagearch/reuse';
import type { ConnectionAdmission } from './connectionAdmission.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import { type CreateStatement, registerStreamRoute } from './peerStreams.js';
import { registerTableRoute, registerCacheStoreRoute } from './peerExchange.js';
import { isRelayedRequest } from './relay/acceptedRelay.js';
import type { Address } from './types.js';
import { type ExplainRequest, registerWhereRoute } from './whereRoute.js';

/** Listens, or closes the server if it can't. */
const listen = async (server: FastifyInstance, { host, port }: Address) => {
  try {
    await server.listen({ host, port });
    return server;
  } catch (error) {
    await server.close();
    throw error;
  }
};

/** Serves the load balancer's readiness check: 200 while this node accepts new connections, else 503. */
export const startReadinessServer = (
  address: Address,
  path: string,
  isReady: () => boolean,
  admission: ConnectionAdmission,
): Promise<FastifyInstance> => {
  const server = fastify();
  admission.protect(server.server, 'readiness');
  server.get(path, (_request, reply) => reply.code(isReady() ? 200 : 503).send());
  return listen(server, address);
};

/** Largest header size that the parser accepts, in bytes; the same as for callers, whose requests peers pass on. */
const PEER_MAX_HEADER_BYTES = 65_536;
/** Time after which an idle connection of a peer is closed, in milliseconds; peers close theirs sooner. */
const PEER_KEEP_ALIVE_MS = 72_000;

/** Requests of callers that peers pass on. */
export interface RelayedRequests {
  readonly serve: (incoming: IncomingMessage, response: ServerResponse) => void;
  /** Returns the largest body of a request, in bytes. */
  readonly getMaxBodyBytes: () => number;
}

/**
 * Serves this node's copies of the store's tables, and its indexes of cache stores, to peers, and the requests of
 * callers that they pass on.
 *
 * @param explain explains where a described request would be sent
 * @param isServable whether the copy of a table may be served now
 * @param createStreamStatement creates the statement on recent streams that peers ask for
 */
export const startPeerServer = (
  address: Address,
  mirrors: readonly TableMirror[],
  clock: Clock,
  isServable: (table: string) => boolean,
  findIndex: (address: string) => StoreIndex | undefined,
  indexClock: Clock,
  explain: ExplainRequest,
  createStreamStatement: CreateStatement,
  relayed: RelayedRequests,
  admission: ConnectionAdmission,
): Promise<FastifyInstance> => {
  const options = { maxHeaderSize: PEER_MAX_HEADER_BYTES, noDelay: true, requestTimeout: 0 };
  const server = fastify({
    serverFactory: (handle) => {
      const created = createServer(options, (incoming, response) => {
        if (isRelayedRequest(incoming)) relayed.serve(incoming, response);
        else handle(incoming, response);
      });
      created.keepAliveTimeout = PEER_KEEP_ALIVE_MS;
      created.maxHeadersCount = 0;
      return created;
    },
  });
  admission.protect(server.server, 'peers', relayed.getMaxBodyBytes);
  registerWhereRoute(server, explain);
  registerStreamRoute(server, createStreamStatement);
  registerTableRoute(server, mirrors, clock, isServable);
  registerCacheStoreRoute(server, findIndex, indexClock);
  return listen(server, address);
};

/** Serves counters and latency histograms in the Prometheus text format. */
export const startMetricsServer = (
  address: Address,
  metrics: GatewayMetrics,
  admission: ConnectionAdmission,
): Promise<FastifyInstance> => {
  const server = fastify();
  admission.protect(server.server, 'metrics');
  server.get('/metrics', async (_request, reply) =>
    reply.type('text/plain; version=0.0.4').send(await metrics.render()),
  );
  return listen(server, address);
};
