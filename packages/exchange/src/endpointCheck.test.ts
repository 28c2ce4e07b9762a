import { once } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';
import t, { type Test } from 'tap';
import { MIN_RESTART_MS, SETTLE_MS } from './constants.js';
import { type ConnectionEvidence, decideEndpointLife } from './endpointLife.js';
import { ConnectionPool, type EndpointLife } from './index.js';
import { isFramed } from './isFramed.js';

const BASE: ConnectionEvidence = {
  opening: 'accepted',
  hasOpenedConnection: false,
  hasOlderConnection: false,
  hasLostConnection: false,
  openedAfterMs: 0,
  waitedMs: 0,
};

const CASES: readonly [string, Partial<ConnectionEvidence>, EndpointLife | 'undecided'][] = [
  ['an endpoint that accepts at once runs', {}, 'running'],
  ['an endpoint that refuses has ended', { opening: 'refused' }, 'ended'],
  [
    'one that accepts after the time of a restart may be a new process',
    { openedAfterMs: MIN_RESTART_MS },
    'unknown',
  ],
  [
    'one that accepts late runs if an older connection is open',
    { openedAfterMs: MIN_RESTART_MS, hasOlderConnection: true },
    'running',
  ],
  [
    'one that accepts has ended if all its other connections ended',
    { hasLostConnection: true },
    'ended',
  ],
  [
    'one that accepts and has closed its other connections is looked at again',
    { hasLostConnection: true, hasOpenedConnection: true },
    'undecided',
  ],
  [
    'one that accepts and has closed its other connections runs if the new one stays open',
    { hasLostConnection: true, hasOpenedConnection: true, waitedMs: SETTLE_MS },
    'running',
  ],
  [
    'one that accepts after the time of a restart and has closed its other connections has ended',
    {
      hasLostConnection: true,
      hasOpenedConnection: true,
      openedAfterMs: MIN_RESTART_MS,
      waitedMs: SETTLE_MS,
    },
    'ended',
  ],
  [
    'one that accepts and has closed one of several connections is looked at again',
    { hasLostConnection: true, hasOlderConnection: true },
    'undecided',
  ],
  [
    'one that accepts and has closed one of several connections runs if others stay open',
    { hasLostConnection: true, hasOlderConnection: true, waitedMs: SETTLE_MS },
    'running',
  ],
  [
    'one that refuses and has an older connection is looked at again',
    { opening: 'refused', hasOlderConnection: true },
    'undecided',
  ],
  [
    'one that refuses runs if an older connection stays open, as it is leaving',
    { opening: 'refused', hasOlderConnection: true, waitedMs: SETTLE_MS },
    'running',
  ],
  ['one that does not accept is unknown', { opening: 'failed' }, 'unknown'],
  [
    'one that does not accept has ended if all its other connections ended',
    { opening: 'failed', hasLostConnection: true },
    'ended',
  ],
  ['one that does not answer is waited for', { opening: 'pending' }, 'undecided'],
  [
    'one that does not answer runs if an older connection stays open',
    { opening: 'pending', hasOlderConnection: true, waitedMs: SETTLE_MS },
    'running',
  ],
];

t.test('whether the process of an endpoint outlives the end of a connection', async (t2) => {
  for (const [name, evidence, life] of CASES)
    t2.equal(decideEndpointLife({ ...BASE, ...evidence }), life, name);
});

// Guards against half of a body that counts as whole because of a transfer coding that is not chunked.
t.test('a response shows its end by a length, by chunks or by having no body', async (t2) => {
  t2.ok(isFramed('GET', 200, { 'content-length': '5' }));
  t2.ok(isFramed('GET', 200, { 'transfer-encoding': 'chunked' }));
  t2.ok(isFramed('GET', 200, { 'transfer-encoding': 'gzip, Chunked' }));
  t2.ok(isFramed('HEAD', 200, {}));
  t2.ok(isFramed('GET', 204, {}));
  t2.ok(isFramed('GET', 304, {}));
  t2.notOk(isFramed('GET', 200, {}));
  t2.notOk(isFramed('GET', 200, { 'transfer-encoding': 'gzip' }));
  t2.notOk(isFramed('GET', 200, { 'transfer-encoding': 'chunked, gzip' }));
  t2.notOk(isFramed('GET', 200, { 'transfer-encoding': 'identity', 'content-length': '5' }));
});

const HEAD = 'HTTP/1.1 200 OK\r\n';
const MAX_CONNECTIONS = 4;
const RESPONSES = {
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
      else if (bytes.includes('/reset')) socket.resetAndDestroy();
      else socket.write(RESPONSES.framed);
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
  t2.teardown(end);
  return {
    address: `127.0.0.1:${port}`,
    closeConnections,
    end,
    countConnections: () => connections,
  };
};

type Answer = keyof typeof RESPONSES | 'reset';

const send = async (pool: ConnectionPool, address: string, answer: Answer): Promise<string> =>
  new Promise((resolve) => {
    const request = {
      method: 'GET',
      path: `/${answer}`,
      headers: ['host', 'x'],
      body: undefined,
      isRepeat: false,
    };
    pool.send('i-1', address, MAX_CONNECTIONS, request, {
      canSend: () => true,
      onHeaders: () => undefined,
      onData: () => undefined,
      // The connection is released in a later turn of the event loop.
      onEnd: ({ type }) => setImmediate(() => setImmediate(() => resolve(type))),
      onFailure: ({ type }) => resolve(type),
    });
  });

const check = async (pool: ConnectionPool, address: string): Promise<EndpointLife> =>
  pool.checkEndpoint('i-1', address, MAX_CONNECTIONS, 0);

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

// Guards against whole answers that are cut because the endpoint closes another connection at the time of their end.
t.test('an endpoint that resets another exchange at the same time runs', async (t2) => {
  const endpoint = await startEndpoint(t2);
  const pool = ConnectionPool.create();
  t2.teardown(() => pool.closeAll());
  const reset = send(pool, endpoint.address, 'reset');
  t2.equal(await send(pool, endpoint.address, 'unframed'), 'connection');
  t2.equal(await reset, 'broken');
  t2.equal(await check(pool, endpoint.address), 'running');
});

t.test('an endpoint that closes an idle connection at the same time runs', async (t2) => {
  const endpoint = await startEndpoint(t2);
  const pool = ConnectionPool.create();
  t2.teardown(() => pool.closeAll());
  const framed = send(pool, endpoint.address, 'framed');
  t2.equal(await send(pool, endpoint.address, 'unframed'), 'connection');
  t2.equal(await framed, 'framing');
  const life = check(pool, endpoint.address);
  endpoint.closeConnections();
  t2.equal(await life, 'running');
});

// Guards against a connection for each of many streams that end together.
t.test('ends that are read together share a check', async (t2) => {
  const endpoint = await startEndpoint(t2);
  const pool = ConnectionPool.create();
  t2.teardown(() => pool.closeAll());
  const checks = [1, 2, 3].map(async () => check(pool, endpoint.address));
  t2.strictSame(await Promise.all(checks), ['running', 'running', 'running']);
  t2.equal(pool.openedConnections, 1);
});

t.test('an address that is not usable is unknown', async (t2) => {
  t2.equal(await check(ConnectionPool.create(), 'localhost:1'), 'unknown');
});
