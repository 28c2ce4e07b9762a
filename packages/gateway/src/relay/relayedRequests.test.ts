import { once } from 'node:events';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { connect } from 'node:net';
import t, { type Test } from 'tap';
import { request } from 'undici';
import { type Gateway, startGateway } from '../index.js';
import {
  createDependencies,
  createRegistration,
  createRows,
  FakeEndpoint,
  REQUEST_ID_HEADER,
  SEAL_HEADER,
  send,
  SETTINGS,
  waitUntilReady,
} from '../testGateway.js';
import { FakeSharedTable } from '../testSharedTable.js';
import { RELAY_HEADER } from './relayHeaders.js';

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_BAD_GATEWAY = 502;
const HTTP_UNAVAILABLE = 503;
const HOST = '127.0.0.1';
/** Loopback address that other tests don't use, so that none of them takes a port which has to stay free. */
const OWN_HOST = `127.1.${Math.floor(process.pid / 256) % 256}.${process.pid % 256}`;
const GRACE_MS = 500;

const findFreePort = async (): Promise<number> => {
  const server = createServer().listen(0, OWN_HOST);
  await once(server, 'listening');
  const address = server.address();
  server.close();
  await once(server, 'close');
  return typeof address === 'object' && address !== null ? address.port : 0;
};

/** Starts a node that knows its peers by the shared table; it reaches the endpoint if its port is open. */
const startNode = async (
  t2: Test,
  name: string,
  { peerPort, endpointAddress, shared }: NodeOptions,
): Promise<Gateway> => {
  const registrations = new FakeSharedTable();
  registrations.write('i-0', { ...createRegistration('i-0', 0), address: endpointAddress });
  const dependencies = createDependencies(createRows([]), shared, () => 0.5, registrations);
  const peerAddress = { host: OWN_HOST, port: peerPort };
  const gateway = await startGateway(
    {
      ...SETTINGS,
      nodeName: name,
      peerAddress,
      isFirstStart: false,
      bounds: { ...SETTINGS.bounds, shutdownGraceMs: GRACE_MS },
    },
    dependencies,
    '/ready',
  );
  t2.teardown(async () => gateway.drain('test'));
  return gateway;
};

interface NodeOptions {
  readonly peerPort: number;
  readonly endpointAddress: string;
  readonly shared: FakeSharedTable;
}

const announce = (shared: FakeSharedTable, name: string, port: number, host = OWN_HOST) =>
  shared.write(`peer/${name}`, {
    address: `${host}:${port}`,
    loadAddress: `${host}:${port}`,
    zone: 'z1',
  });

/** Starts a node without links and a peer that reaches the endpoint. */
const startPair = async (t2: Test) => {
  const endpoint = new FakeEndpoint();
  const endpointPort = await endpoint.start();
  t2.teardown(() => endpoint.stop());
  const shared = new FakeSharedTable();
  const ports = [await findFreePort(), await findFreePort(), await findFreePort()] as const;
  announce(shared, 'n1', ports[0]);
  announce(shared, 'n2', ports[1]);
  const peer = await startNode(t2, 'n2', {
    peerPort: ports[1],
    endpointAddress: `${HOST}:${endpointPort}`,
    shared,
  });
  const lost = await startNode(t2, 'n1', {
    peerPort: ports[0],
    endpointAddress: `${OWN_HOST}:${ports[2]}`,
    shared,
  });
  await waitUntilReady(peer);
  await waitUntilReady(lost);
  endpoint.received.length = 0;
  return { endpoint, peer, lost, peerPort: ports[1] };
};

const startStream = (incoming: IncomingMessage, response: ServerResponse) => {
  response.writeHead(HTTP_OK, {
    [SEAL_HEADER]: '1',
    [REQUEST_ID_HEADER]: String(incoming.headers[REQUEST_ID_HEADER]),
    'content-type': 'text/event-stream',
  });
  response.write('id: 1\ndata: a\n\n');
};

// Guards against callers of a node without links who are refused while its peers reach the endpoints.
t.test('a node that lost its links serves calls through a peer, each of them once', async (t2) => {
  const { endpoint, lost } = await startPair(t2);
  for (let index = 0; index < 20; index += 1) {
    const { status, text, headers } = await send(lost, '/read/x', `r${index}`);
    t2.equal(status, HTTP_OK);
    t2.equal(text, 'whole');
    t2.equal(headers[SEAL_HEADER], '1');
    t2.notOk(Object.keys(headers).some((name) => name.startsWith('lovagearch-relay')));
  }
  const { status } = await send(lost, '/claim/x', 'c1', 'claim');
  t2.equal(status, HTTP_OK);
  t2.same(endpoint.received, [...Array.from({ length: 20 }, (_, index) => `r${index}`), 'c1']);
});

// Guards against headers between nodes that reach an endpoint, and against callers who forge them.
t.test('an endpoint sees no header of the relay, and callers can not set it', async (t2) => {
  const { endpoint, lost, peer } = await startPair(t2);
  const seen: string[] = [];
  const { handle } = endpoint;
  endpoint.handle = (incoming, response) => {
    seen.push(...Object.keys(incoming.headers));
    handle(incoming, response);
  };
  const forged = { [RELAY_HEADER]: '{"node":"x","limitMs":1,"runs":9,"sends":9,"isCounted":true}' };
  for (const gateway of [lost, peer])
    t2.equal((await send(gateway, '/read/x', 'r1', undefined, undefined, forged)).status, HTTP_OK);
  t2.notOk(seen.includes(RELAY_HEADER));
});

// Guards against streams that are collected at a node on their way, and work that goes on for a caller who has left.
t.test(
  'events of a relayed stream arrive one by one, and the endpoint sees the caller leave',
  async (t2) => {
    const { endpoint, lost } = await startPair(t2);
    let writeNext: () => void = () => undefined;
    const closed = new Promise<void>((resolve) => {
      endpoint.handle = (incoming, response) => {
        startStream(incoming, response);
        writeNext = () => response.write('id: 2\ndata: b\n\n');
        response.once('close', () => resolve());
      };
    });
    const response = await request(`http://${HOST}:${lost.callerPort}/stream/x`, {
      method: 'POST',
      headers: { host: 'a.example', [REQUEST_ID_HEADER]: 's1' },
      body: 'prompt',
    });
    const chunks = response.body[Symbol.asyncIterator]();
    t2.match(String((await chunks.next()).value), 'data: a');
    writeNext();
    t2.match(String((await chunks.next()).value), 'data: b');
    response.body.destroy();
    await closed;
  },
);

// Guards against a claim that is called not run, or sent again, although an endpoint has received it at the peer.
t.test(
  'a claim whose endpoint breaks off at the peer may have run and is not repeated',
  async (t2) => {
    const { endpoint, lost } = await startPair(t2);
    endpoint.handle = (_incoming, response) => response.destroy();
    const { status } = await send(lost, '/claim/x', 'c1', 'claim');
    t2.equal(status, HTTP_BAD_GATEWAY);
    t2.same(endpoint.received, ['c1']);
  },
);

// Guards against an incomplete stream that looks whole because a node on its way ended it.
t.test('a stream that breaks off at the peer is cut off', async (t2) => {
  const { endpoint, lost } = await startPair(t2);
  endpoint.handle = (incoming, response) => {
    startStream(incoming, response);
    setTimeout(() => response.destroy(), 20);
  };
  const { text } = await send(lost, '/generate/x', 'g1', 'prompt');
  t2.equal(text, 'cut');
});

// Guards against requests that wait for their deadline, or travel between nodes, when no node reaches an endpoint.
t.test('nodes that all lost their links refuse at once and say when to return', async (t2) => {
  const shared = new FakeSharedTable();
  const ports = [await findFreePort(), await findFreePort(), await findFreePort()] as const;
  announce(shared, 'n1', ports[0]);
  announce(shared, 'n2', ports[1]);
  const nodes = [
    await startNode(t2, 'n1', {
      peerPort: ports[0],
      endpointAddress: `${OWN_HOST}:${ports[2]}`,
      shared,
    }),
    await startNode(t2, 'n2', {
      peerPort: ports[1],
      endpointAddress: `${OWN_HOST}:${ports[2]}`,
      shared,
    }),
  ];
  // The first requests find out that the endpoints can't be reached.
  const deadlineMs = Date.now() + 5_000;
  for (const node of nodes) {
    let text = '';
    while (!text.includes('endpoints_unreachable') && Date.now() < deadlineMs)
      ({ text } = await send(node, '/claim/x', 'first', 'claim'));
  }
  for (const node of nodes) {
    const startMs = Date.now();
    const { status, text, headers } = await send(node, '/claim/x', 'c1', 'claim');
    t2.equal(status, HTTP_UNAVAILABLE);
    t2.match(text, 'endpoints_unreachable');
    t2.match(text, 'not_run');
    t2.ok(Number(headers['retry-after']) > 0);
    t2.ok(Date.now() - startMs < 1_000);
  }
});

for (const { title, status } of [
  { title: 'peers of an earlier release', status: HTTP_NOT_FOUND },
  { title: 'peers that refuse a request before they read it', status: HTTP_UNAVAILABLE },
]) {
  // Guards against responses without a result that are taken for the answer to a request, or stop the other peers.
  t.test(`${title} are passed over`, async (t2) => {
    const endpoint = new FakeEndpoint();
    const endpointPort = await endpoint.start();
    t2.teardown(() => endpoint.stop());
    const other = new FakeEndpoint();
    other.handle = (_incoming, response) => response.writeHead(status).end('{}');
    const otherPort = await other.start();
    t2.teardown(() => other.stop());
    const shared = new FakeSharedTable();
    const ports = [await findFreePort(), await findFreePort(), await findFreePort()] as const;
    announce(shared, 'n1', ports[0]);
    announce(shared, 'n2', ports[1]);
    announce(shared, 'n0', otherPort, HOST);
    const peer = await startNode(t2, 'n2', {
      peerPort: ports[1],
      endpointAddress: `${HOST}:${endpointPort}`,
      shared,
    });
    const lost = await startNode(t2, 'n1', {
      peerPort: ports[0],
      endpointAddress: `${OWN_HOST}:${ports[2]}`,
      shared,
    });
    await waitUntilReady(peer);
    await waitUntilReady(lost);
    for (let index = 0; index < 10; index += 1)
      t2.equal((await send(lost, '/claim/x', `c${index}`, 'claim')).status, HTTP_OK);
    t2.ok(other.received.length <= 1, `${other.received.length} requests reached the other peer`);
  });
}

// Guards against a peer that ends in the middle of a response, or before it, and a caller who takes that for a whole one.
t.test('a peer that resets its connections leaves no whole response behind', async (t2) => {
  const endpoint = new FakeEndpoint();
  const peer = createServer((_incoming, response) => {
    response.socket?.resetAndDestroy();
  }).listen(0, HOST);
  await once(peer, 'listening');
  t2.teardown(() => peer.close());
  const address = peer.address();
  const peerPort = typeof address === 'object' && address !== null ? address.port : 0;
  const shared = new FakeSharedTable();
  const ports = [await findFreePort(), await findFreePort()] as const;
  announce(shared, 'n1', ports[0]);
  announce(shared, 'n2', peerPort, HOST);
  const lost = await startNode(t2, 'n1', {
    peerPort: ports[0],
    endpointAddress: `${OWN_HOST}:${ports[1]}`,
    shared,
  });
  const statuses = new Set<number>();
  const deadlineMs = Date.now() + 5_000;
  for (let index = 0; !statuses.has(HTTP_BAD_GATEWAY) && Date.now() < deadlineMs; index += 1)
    statuses.add((await send(lost, '/claim/x', `c${index}`, 'claim')).status);
  t2.ok(statuses.has(HTTP_BAD_GATEWAY), 'a claim that was passed on may have run');
  t2.notOk(statuses.has(HTTP_OK));
  t2.same(endpoint.received, []);
});

// Guards against a body that is read at a peer's address without a route, and a connection that is left open.
t.test('a malformed relay header is refused', async (t2) => {
  const { peerPort } = await startPair(t2);
  const socket = connect(peerPort, OWN_HOST);
  socket.write(`GET /read/x HTTP/1.1\r\nhost: a.example\r\n${RELAY_HEADER}: x\r\n\r\n`);
  const [bytes] = (await once(socket, 'data')) as [Buffer];
  t2.match(String(bytes), /^HTTP\/1.1 400 /);
  socket.destroy();
});
