import type { Socket } from 'node:net';
import { Agent, Pool } from 'undici';
import { openBoundedSocket } from './boundedSocket.js';
import { MAX_EXTRA_RESPONSE_BYTES, WIRE_BYTES_PER_BODY_BYTE } from './constants.js';

export interface BoundedAgentOptions {
  readonly connectTimeoutMs: number;
  /** Largest body of a response, in bytes; with it, all bytes of a response are limited. */
  readonly maxResponseBytes: number;
  /** Maximum number of connections to each origin; unlimited by default. */
  readonly connections?: number;
  /** Time after which an idle connection is closed; 0 closes each connection after its response. */
  readonly keepAliveMs?: number;
}

type ConnectCallback = (...args: [Error, null] | [null, Socket]) => void;

/**
 * Closes a connection on which more arrives for one request than any proper response has. The HTTP client limits only
 * headers and bodies; status lines, interim responses and chunk extensions may go on without end.
 */
const cancelEndlessResponses = (socket: Socket, maxBytes: number): void => {
  let sentBytes = 0;
  let receivedBeforeBytes = 0;
  socket.on('readable', () => {
    if (socket.bytesWritten !== sentBytes) {
      sentBytes = socket.bytesWritten;
      receivedBeforeBytes = socket.bytesRead;
    } else if (socket.bytesRead - receivedBeforeBytes > maxBytes)
      socket.destroy(new Error(`a response exceeds ${maxBytes} bytes on its connection`));
  });
};

const createConnector =
  ({ connectTimeoutMs, maxResponseBytes }: BoundedAgentOptions) =>
  (
    { hostname, port }: { readonly hostname: string; readonly port: string },
    callback: ConnectCallback,
  ): void => {
    const socket = openBoundedSocket(hostname, Number(port));
    let hasCalledBack = false;
    const settle: ConnectCallback = (...args) => {
      if (hasCalledBack) return;
      hasCalledBack = true;
      callback(...args);
    };
    const timer = setTimeout(() => {
      const error = new Error(`connection not established within ${connectTimeoutMs} ms`);
      socket.destroy(Object.assign(error, { code: 'UND_ERR_CONNECT_TIMEOUT' }));
    }, connectTimeoutMs);
    socket.on('error', (error) => settle(error, null));
    socket.once('close', () => {
      clearTimeout(timer);
      settle(new Error('connection closed while connecting'), null);
    });
    socket.once('connect', () => {
      clearTimeout(timer);
      settle(null, socket);
    });
    cancelEndlessResponses(
      socket,
      maxResponseBytes * WIRE_BYTES_PER_BODY_BYTE + MAX_EXTRA_RESPONSE_BYTES,
    );
  };

const createOptions = (options: BoundedAgentOptions) => ({
  connect: createConnector(options),
  headersTimeout: 0,
  bodyTimeout: 0,
  maxResponseSize: options.maxResponseBytes,
  pipelining: options.keepAliveMs === 0 ? 0 : 1,
  ...(options.connections === undefined ? {} : { connections: options.connections }),
  ...(options.keepAliveMs === undefined || options.keepAliveMs === 0
    ? {}
    : { keepAliveTimeout: options.keepAliveMs }),
});

/**
 * Creates the connections of a client to any number of servers.
 *
 * @example
 * const agent = createBoundedAgent({ connectTimeoutMs: 700, maxResponseBytes: 1_048_576 });
 */
export const createBoundedAgent = (options: BoundedAgentOptions): Agent =>
  new Agent(createOptions(options));

/**
 * Creates the connections of a client to one server.
 *
 * @param origin such as `http://10.200.1.7:8587`
 */
export const createBoundedPool = (origin: string, options: BoundedAgentOptions): Pool =>
  new Pool(origin, createOptions(options));
