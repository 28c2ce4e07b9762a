import { Socket } from 'node:net';
import { MAX_READ_BYTES, TCP_KEEP_ALIVE_DELAY_MS } from './constants.js';

/**
 * A socket that hands out what it has received in small pieces. The HTTP client reads all that is there before it
 * handles the first chunk and returns what it leaves for later, so that a response in small chunks would pile up.
 */
class BoundedSocket extends Socket {
  override read(size?: number): unknown {
    return super.read(size ?? Math.min(this.readableLength, MAX_READ_BYTES));
  }
}

/**
 * Opens a connection for an HTTP client.
 *
 * @example
 * const socket = openBoundedSocket('10.1.2.3', 8080);
 */
export const openBoundedSocket = (host: string, port: number): Socket =>
  new BoundedSocket().connect({
    host,
    port,
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MS,
  });
