import { createServer, type Server } from 'node:http';
import type { Socket } from 'node:net';
import type { CallerLimits } from '@lovagearch/traffic';
import type { GatewayContext } from './gatewayContext.js';
import { CallerRequestHandler } from './callerRequestHandler.js';
import type { Address } from './types.js';

/** Largest header that any configuration may allow, in bytes; the parser's limit is fixed at start. */
const PARSER_MAX_HEADER_BYTES = 65_536;
/** Interval in which the server looks for callers that are too slow, in milliseconds. */
const SLOW_CALLER_CHECK_MS = 500;
/** Connections that wait to be accepted; a burst after a restart of other nodes needs room. */
const LISTEN_BACKLOG = 1_024;

/**
 * The server that callers connect to. `node:http` is used without a framework: its raw headers and
 * sockets are needed to pass requests on unchanged and to break answers off.
 */
export class CallerServer {
  private readonly server: Server;

  private activeRequests = 0;

  private readonly idleSockets = new Set<Socket>();

  private constructor(private readonly context: GatewayContext) {
    this.server = createServer({
      maxHeaderSize: PARSER_MAX_HEADER_BYTES,
      connectionsCheckingInterval: SLOW_CALLER_CHECK_MS,
      // The configuration limits the time for a header; a request's own limit covers its body.
      requestTimeout: 0,
      keepAlive: true,
      noDelay: true,
    });
    this.server.on('connection', (socket: Socket) => {
      this.idleSockets.add(socket);
      socket.once('close', () => this.idleSockets.delete(socket));
    });
    this.server.on('request', (incoming, response) => {
      const { socket } = incoming;
      this.idleSockets.delete(socket);
      this.activeRequests += 1;
      response.once('close', () => {
        this.activeRequests -= 1;
        if (!socket.destroyed) this.idleSockets.add(socket);
      });
      CallerRequestHandler.create(context, incoming, response)
        .serve()
        .catch((error: unknown) => {
          context.log.logProblem('request_crashed', { reason: String(error) });
          response.destroy();
        });
    });
  }

  static create(context: GatewayContext): CallerServer {
    return new CallerServer(context);
  }

  /** Requests that have no complete answer yet. */
  get activeRequestCount(): number {
    return this.activeRequests;
  }

  listen(address: Address): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(
        { host: address.host, port: address.port, backlog: LISTEN_BACKLOG },
        () => {
          this.server.off('error', reject);
          this.server.on('error', (error) => {
            this.context.log.logProblem('listener_failed', { reason: error.message });
          });
          resolve();
        },
      );
    });
  }

  /** Returns the port that the server listens on. */
  getPort(): number {
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  applyLimits(limits: CallerLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** Closes connections without a request under way. */
  closeIdleConnections(): void {
    for (const socket of this.idleSockets) socket.end();
  }

  /** Takes no new connections. */
  stopListening(): void {
    this.server.close();
  }
}
