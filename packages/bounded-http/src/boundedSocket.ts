import { Socket } from 'node:net';
import { MAX_READ_BYTES, TCP_KEEP_ALIVE_DELAY_MS } from './constants.js';

/**
 * A socket that hands out what it has received in small pieces. The HTTP client reads all that is there before it
 * handles the first chunk and returns what it leaves for later, so that a response in small chunks would pile up.
 */
class BoundedSocket extends Socket {
  private isReset = false;

  override read(size?: number): unknown {
    return super.read(size ?? Math.min(this.readableLength, MAX_READ_BYTES));
  }

  override resetAndDestroy(): this {
    this.isReset = true;
    return super.resetAndDestroy();
  }

  // eslint-disable-next-line no-underscore-dangle -- the name that streams call
  override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    // After a reset, the HTTP client completes a response that ends with its connection, and throws if the response is
    // paused or aborted, unless the connection has failed with another error.
    const isReset = error === null ? this.isReset : 'code' in error && error.code === 'ECONNRESET';
    // eslint-disable-next-line no-underscore-dangle
    super._destroy(isReset ? new Error('connection reset', { cause: error }) : error, callback);
  }
}

/**
 * Opens a connection for an HTTP client.
 *
 * @example
 * const socket = openBoundedSocket('10.1.2.3', 8080);
 */
export const openBoundedSocket = (host: string, port: number): Socket => {
  const socket = new BoundedSocket();
  // Node.js ignores these as options of `connect`.
  socket.setNoDelay(true);
  socket.setKeepAlive(true, TCP_KEEP_ALIVE_DELAY_MS);
  return socket.connect({ host, port });
};
