import { once } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { processClock } from '@lovagearch/common';
import t, { type Test } from 'tap';
import { LISTENER_CLOSE_MS, SETTLE_MS } from './constants.js';
import { ConnectionPool, type EndpointLife, type Exchange } from './index.js';

const HEAD = 'HTTP/1.1 200 OK\r\n';
const MAX_CONNECTIONS = 4;
const MAX_BUFFERED_BYTES = 1_048_576;
const RESPONSES = {
  endless: `${HEAD}\r\n${'x'.repeat(MAX_BUFFERED_BYTES)}`,
  unframed: `${HEAD}\r\nbody`,
  framed: `${HEAD}Content-Length: 4\r\n\r\nbody`,
} as const;

/** Endpoint that answers `/unframed` with a response that ends with its connection. */
const startEndpoint = async (t2: Test) => {
  const sockets = new Set<Socket>();
  let connections = 0;
  const server: Server = createServer((socket) => {
    connections += 1;
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => sockets.delete(socket));
    socket.on('data', (bytes) => {
      if (bytes.includes('/unframed')) socket.end(RESPONSES.unframed);
      else if (bytes.includes('/late'))
        setTimeout(() => socket.end(RESPONSES.unframed), LISTENER_CLOSE_MS / 3);
      else if (bytes.includes('/reset')) socket.resetAndDestroy();
      else if (bytes.includes('/endless')) socket.write(RESPONSES.endless);
      else if (!bytes.includes('/silent')) socket.write(RESPONSES.framed);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  const port = typeof address === 'object' && address !== null ? address.port : 0;
  const closeConnections = () => {
    for (const socket of sockets) socket.end();
  };
  const end = () => {
    server.close();
    closeConnections();
  };
  /** Closes everything within the call, as the kernel does for a process that is killed. */
  const kill = () => {
    server.close();
    for (const socket of sockets) socket.destroy();
  };
  t2.teardown(end);
  return {
    address: `127.0.0.1:${port}`,
    closeConnections,
    end,
    kill,
    countConnections: () => connections,
  };
};

type Answer = keyof typeof RESPONSES | 'late' | 'reset' | 'silent';

interface SendOptions {
  readonly maxConnections?: number;
  /** Whether the response is not read beyond its first bytes. */
  readonly isPaused?: boolean;
}

const send = async (
  pool: ConnectionPool,
  address: string,
  answer: Answer,
  { maxConnections = MAX_CONNECTIONS, isPaused = false }: SendOptions = {},
): Promise<string> =>
  new Promise((resolve) => {
    const request = {
      method: 'GET',
      path: `/${answer}`,
      createHeaders: () => ['host', 'x'],
      body: undefined,
      isRepeat: false,
    };
    const exchange: Exchange | undefined = pool.send('i-1', address, maxConnections, request, {
      canSend: () => true,
      onHeaders: () => undefined,
      onData: () => {
        if (isPaused) exchange?.pause();
      },
      // The connection is released in a later turn of the event loop.
      onEnd: ({ type }) => setImmediate(() => setImmediate(() => resolve(type))),
      onFailure: ({ type }) => resolve(type),
    });
  });

const check = async (pool: ConnectionPool, address: string, sentAtMs = 0): Promise<EndpointLife> =>
  pool.checkEndpoint('i-1', address, { sentAtMs, unreadForMs: 0 });

t.test(
  'an endpoint that runs keeps the connection of the check for its next request',
  async (t2) => {
    const endpoint = await startEndpoint(t2);
    const pool = ConnectionPool.create();
    t2.teardown(() => pool.closeAll());
    t2.equal(await send(pool, endpoint.address, 'unframed'), 'connection');
    t2.equal(await check(pool, endpoint.address), 'running');
    t2.equal(await send(pool, endpoint.address, 'framed'), 'framing');
    t2.equal(await send(pool, endpoint.address, 'unframed'), 'connection');
    t2.equal(pool.openedConnections, 2);
    t2.equal(endpoint.countConnections(), 2);
  },
);

t.test('an endpoint whose listener and connections are closed has ended', async (t2) => {
  const endpoint = await startEndpoint(t2);
  const pool = ConnectionPool.create();
  t2.equal(await send(pool, endpoint.address, 'framed'), 'framing');
  t2.equal(await send(pool, endpoint.address, 'unframed'), 'connection');
  endpoint.end();
  t2.equal(await check(pool, endpoint.address), 'ended');
  t2.notOk(pool.hasEstablishedConnection('i-1'));
});

// Guards against whole answers that are cut because the endpoint has too many connections for another one.
t.test('an endpoint that closes surplus connections runs', async (t2) => {
  const server = createServer((socket) => socket.resetAndDestroy());
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t2.teardown(() => server.close());
  const address = server.address();
  const port = typeof address === 'object' && address !== null ? address.port : 0;
  const pool = ConnectionPool.create();
  const lost: string[] = [];
  pool.onIdleConnectionLost = (endpointId) => lost.push(endpointId);
  t2.equal(await check(pool, `127.0.0.1:${port}`), 'running');
  t2.strictSame(lost, [], 'which is no sign of a crash');
});

// Guards against whole answers that are cut because the endpoint has closed a connection before it got their requests.
for (const loss of ['broken', 'idle'] as const)
  t.test(
    `an endpoint that answers a request after a connection was lost (${loss}) runs`,
    async (t2) => {
      const endpoint = await startEndpoint(t2);
      const pool = ConnectionPool.create();
      t2.teardown(() => pool.closeAll());
      if (loss === 'broken') t2.equal(await send(pool, endpoint.address, 'reset'), 'broken');
      else {
        t2.equal(await send(pool, endpoint.address, 'framed'), 'framing');
        const lost = new Promise<void>((resolve) => {
          pool.onIdleConnectionLost = () => resolve();
        });
        endpoint.closeConnections();
        await lost;
      }
      const sentAtMs = processClock.nowMs();
      t2.equal(await send(pool, endpoint.address, 'unframed'), 'connection');
      t2.equal(await check(pool, endpoint.address, sentAtMs), 'running');
    },
  );

// Guards against half of a response that counts as whole because a proxy accepts connections for the endpoint.
t.test('an endpoint that loses a connection after it got the request has ended', async (t2) => {
  const endpoint = await startEndpoint(t2);
  const pool = ConnectionPool.create();
  t2.teardown(() => pool.closeAll());
  const lost = send(pool, endpoint.address, 'silent');
  t2.equal(await send(pool, endpoint.address, 'unframed'), 'connection');
  const life = check(pool, endpoint.address);
  endpoint.closeConnections();
  t2.equal(await lost, 'broken');
  t2.equal(await life, 'ended');
});

// Guards against whole answers that are cut because other requests have taken the places of their connections.
t.test('an endpoint whose connections are all in use again runs', async (t2) => {
  const endpoint = await startEndpoint(t2);
  const pool = ConnectionPool.create();
  t2.teardown(() => pool.closeAll());
  const options = { maxConnections: 2 };
  const lives: Promise<EndpointLife>[] = [];
  const sendUnframed = async (answer: 'late' | 'unframed') => {
    t2.equal(await send(pool, endpoint.address, answer, options), 'connection');
    lives.push(check(pool, endpoint.address));
  };
  await Promise.all([sendUnframed('unframed'), sendUnframed('late')]);
  const held = [1, 2].map(async () => send(pool, endpoint.address, 'silent', options));
  t2.strictSame(await Promise.all(lives), ['running', 'running']);
  pool.closeAll();
  t2.strictSame(await Promise.all(held), ['broken', 'broken']);
});

// Guards against half of a stream that counts as whole because the end of another one is behind bytes that its caller
// doesn't read.
t.test('a connection that is not read does not show that its endpoint runs', async (t2) => {
  const endpoint = await startEndpoint(t2);
  const pool = ConnectionPool.create();
  t2.teardown(() => pool.closeAll());
  const held = send(pool, endpoint.address, 'endless', { isPaused: true });
  await sleep(LISTENER_CLOSE_MS);
  t2.equal(await send(pool, endpoint.address, 'unframed'), 'connection');
  endpoint.kill();
  t2.equal(await check(pool, endpoint.address), 'ended');
  pool.closeAll();
  t2.equal(await held, 'broken');
});

// Guards against half of a stream that counts as whole because the ends of other connections are read late.
t.test('a delay of the event loop does not show that an endpoint runs', async (t2) => {
  const endpoint = await startEndpoint(t2);
  const pool = ConnectionPool.create();
  t2.teardown(() => pool.closeAll());
  const held = send(pool, endpoint.address, 'silent');
  t2.equal(await send(pool, endpoint.address, 'unframed'), 'connection');
  const life = check(pool, endpoint.address);
  endpoint.kill();
  const endMs = performance.now() + 2 * SETTLE_MS;
  while (performance.now() < endMs);
  t2.equal(await life, 'ended');
  t2.equal(await held, 'broken');
});

// Guards against a connection for each of many streams that end together.
t.test('ends that are read together share a check', async (t2) => {
  const endpoint = await startEndpoint(t2);
  // The clock stands still meanwhile, as the test process may wait for a core between two ends.
  let readTogetherAtMs: number | undefined = processClock.nowMs();
  const clock = { nowMs: () => readTogetherAtMs ?? processClock.nowMs() };
  const pool = ConnectionPool.create({ clock });
  t2.teardown(() => pool.closeAll());
  const checks = [1, 2, 3].map(async () => check(pool, endpoint.address));
  readTogetherAtMs = undefined;
  t2.strictSame(await Promise.all(checks), ['running', 'running', 'running']);
  t2.equal(pool.openedConnections, 1);
});

t.test('an address that is not usable is unknown', async (t2) => {
  t2.equal(await check(ConnectionPool.create(), 'localhost:1'), 'unknown');
});
