import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { CallerLimits } from '@lovagearch/traffic';
import { CALLER_LISTENER, type ConnectionAdmission } from './connectionAdmission.js';
import type { GatewayContext } from './gatewayContext.js';
import { CallerRequestHandler } from './callerRequestHandler.js';
import { acceptRelay } from './relay/acceptedRelay.js';
import type { Address } from './types.js';

/** Largest header size that a configuration may allow, in bytes; the parser's limit is fixed at startup. */
const PARSER_MAX_HEADER_BYTES = 65_536;
/** Interval of the check for callers that send too slowly, in milliseconds. */
const SLOW_CALLER_CHECK_MS = 500;
/** Accept backlog; callers reconnect in a burst when other nodes restart. */
const LISTEN_BACKLOG = 1_024;

/**
 * The HTTP server for callers. It uses `node:http` without a framework, because it needs the raw headers
 * to forward requests unchanged and the sockets to abort responses.
 */
export class CallerServer {
  private readonly server: Server;

  private activeRequests = 0;

  private readonly idleSockets = new Set<Socket>();

  /** Responses in progress to requests that peers passed on. */
  private readonly relayedResponses = new Set<ServerResponse>();

  private maxBodyBytes = 0;

  private constructor(
    private readonly context: GatewayContext,
    admission: ConnectionAdmission,
  ) {
    this.server = createServer({
      maxHeaderSize: PARSER_MAX_HEADER_BYTES,
      connectionsCheckingInterval: SLOW_CALLER_CHECK_MS,
      // `headersTimeout` comes from the configuration; the request's own time limit covers the body.
      requestTimeout: 0,
      keepAlive: true,
      noDelay: true,
    });
    // By default, Node.js drops the fields of a head behind the first 2,000.
    this.server.maxHeadersCount = 0;
    admission.protect(this.server, CALLER_LISTENER, () => this.maxBodyBytes);
    this.server.on('connection', (socket: Socket) => {
      this.idleSockets.add(socket);
      socket.once('close', () => this.idleSockets.delete(socket));
    });
    this.server.on('request', (incoming, response) => {
      const { socket } = incoming;
      this.idleSockets.delete(socket);
      response.once('close', () => {
        if (!socket.destroyed) this.idleSockets.add(socket);
      });
      this.serve(CallerRequestHandler.create(context, incoming, response), response);
    });
  }

  static create(context: GatewayContext, admission: ConnectionAdmission): CallerServer {
    return new CallerServer(context, admission);
  }

  /** Number of requests whose response is not complete yet. */
  get activeRequestCount(): number {
    return this.activeRequests;
  }

  /** Largest body that the configuration allows, in bytes. */
  get bodyLimitBytes(): number {
    return this.maxBodyBytes;
  }

  /** Serves a request of a caller that a peer passed on, which arrived at the address for peers. */
  serveRelayed(incoming: IncomingMessage, response: ServerResponse): void {
    const { context } = this;
    const { relaying } = context;
    const acceptance = acceptRelay(context, incoming);
    relaying.acceptedRequests += 1;
    this.relayedResponses.add(response);
    response.once('close', () => {
      relaying.acceptedRequests -= 1;
      this.relayedResponses.delete(response);
    });
    this.serve(CallerRequestHandler.create(context, incoming, response, acceptance), response);
  }

  private serve(handler: CallerRequestHandler, response: ServerResponse): void {
    this.activeRequests += 1;
    response.once('close', () => {
      this.activeRequests -= 1;
    });
    handler.serve().catch((error: unknown) => {
      this.context.log.logProblem('request_crashed', { reason: String(error) });
      response.destroy();
    });
  }

  /** Starts listening; rejects if the address can't be used, and may be called again then. */
  async listen({ host, port }: Address): Promise<void> {
    this.server.listen({ host, port, backlog: LISTEN_BACKLOG });
    await once(this.server, 'listening');
    this.server.on('error', (error) => {
      this.context.log.logProblem('listener_failed', { reason: error.message });
    });
  }

  /** Returns the port that the server listens on, or 0 if it is not listening on a TCP port. */
  getPort(): number {
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  applyLimits(limits: CallerLimits): void {
    this.maxBodyBytes = limits.maxBodyBytes;
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /**
   * Closes connections without an active request. Nothing more is read from them: a caller whose next request was not
   * read knows that it can be sent again.
   */
  closeIdleConnections(): void {
    for (const socket of this.idleSockets) socket.destroySoon();
  }

  /** Breaks off the responses to peers that are not complete, as the listener for peers waits for them. */
  abortRelayed(): void {
    for (const response of this.relayedResponses) response.destroy();
  }

  /** Stops accepting connections. */
  stopListening(): void {
    this.server.close();
  }
}
