import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import t from 'tap';
import { FaultProxy } from './faultProxy.js';

const RUNS = 200;

/** Resolves with how a connection ends; Node.js reports a reset that arrives together with bytes as an end. */
const waitForEnd = async (socket: Socket): Promise<'end' | 'reset'> =>
  new Promise((resolve) => {
    socket.once('error', () => resolve('reset'));
    socket.once('end', () => resolve(socket.remotePort === undefined ? 'reset' : 'end'));
    socket.resume();
  });

// Guards against cut answers of stand-ins that look whole because a reset is passed on as an end.
t.test('a proxy passes a reset on as a reset, and an end as an end', async (t2) => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', (bytes) => {
      if (bytes.includes('end')) socket.end('half');
      else socket.write('half', () => socket.resetAndDestroy());
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t2.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const proxy = await FaultProxy.start({ targetHost: '127.0.0.1', targetPort: port });
  t2.teardown(async () => proxy.stop());
  const seen = { end: 0, reset: 0 };
  for (const request of ['end', 'reset'])
    for (let run = 0; run < RUNS; run += 1) {
      const socket = connect(proxy.port, '127.0.0.1');
      socket.write(request);
      seen[await waitForEnd(socket)] += 1;
    }
  t2.strictSame(seen, { end: RUNS, reset: RUNS });
});
