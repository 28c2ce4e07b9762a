import { once } from 'node:events';
import { createServer, Socket } from 'node:net';
import t from 'tap';
import { TCP_KEEP_ALIVE_DELAY_MS } from './constants.js';
import { openBoundedSocket } from './boundedSocket.js';

/** The part of a handle of Node.js that sets options of the operating system's socket. */
interface TcpHandle {
  setNoDelay: (isOn: boolean) => number;
  setKeepAlive: (isOn: boolean, delayS: number) => number;
}

// Guards against connections to an endpoint that has gone silent for good and stay open, as no keep-alive is sent.
t.test('a connection sends keep-alives and does not delay small writes', async (t2) => {
  const server = createServer((socket) => socket.resume());
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  const port = typeof address === 'object' && address !== null ? address.port : 0;
  const socket = openBoundedSocket('127.0.0.1', port);
  t2.teardown(() => {
    socket.destroy();
    server.close();
  });
  t2.ok(socket instanceof Socket);
  const { _handle: handle } = socket as unknown as { readonly _handle: TcpHandle };
  const calls: (boolean | number)[][] = [];
  const recordCalls = (name: keyof TcpHandle): void => {
    const original = handle[name].bind(handle) as (...args: unknown[]) => number;
    handle[name] = (...args: [boolean, ...number[]]) => {
      calls.push([name === 'setNoDelay' ? 0 : 1, ...args]);
      return original(...args);
    };
  };
  recordCalls('setNoDelay');
  recordCalls('setKeepAlive');
  await once(socket, 'connect');
  t2.strictSame(calls, [
    [0, true],
    [1, true, TCP_KEEP_ALIVE_DELAY_MS / 1_000],
  ]);
});
