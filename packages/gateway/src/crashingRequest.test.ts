import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import t, { type Test } from 'tap';
import { type Gateway, startGateway } from './index.js';
import {
  createDependencies,
  createRegistration,
  createRows,
  REQUEST_ID_HEADER,
  SEAL_HEADER,
  send,
  SETTINGS,
  waitUntilReady,
} from './testGateway.js';
import { FakeSharedTable } from './testSharedTable.js';

/** Endpoints that crash one after another; each is used until it has crashed. */
const ENDPOINTS = 8;
/** The rule allows as many requests that crash endpoints after the third crash is known. */
const MAX_CRASHES = 3 + 3;
const POISON_BODY = 'poison';
/** Time between two requests, in which the crash before is known. */
const PAUSE_MS = 150;

interface Exchange {
  readonly response: ServerResponse;
  readonly isPoison: boolean;
  readonly crash: () => void;
}

/** Endpoint whose process can crash: all its connections are reset, and it takes no further ones. */
const startEndpoint = async (respond: (exchange: Exchange) => void, onCrash: () => void) => {
  let crashes = 0;
  const sockets = new Set<Socket>();
  const server: Server = createServer((incoming: IncomingMessage, response) => {
    const chunks: Buffer[] = [];
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
    incoming.once('end', () => {
      response.setHeader(SEAL_HEADER, '1');
      response.setHeader(REQUEST_ID_HEADER, String(incoming.headers[REQUEST_ID_HEADER]));
      const crash = () => {
        crashes += 1;
        onCrash();
        server.close();
        for (const socket of sockets) socket.resetAndDestroy();
      };
      const isPoison = Buffer.concat(chunks).toString() === POISON_BODY;
      respond({ response, isPoison, crash });
    });
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  const port = typeof address === 'object' && address !== null ? address.port : 0;
  const stop = () => {
    server.close();
    server.closeAllConnections();
  };
  return { port, stop, getCrashes: () => crashes };
};

const startNode = async (test: Test, respond: (exchange: Exchange) => void) => {
  const registrations = new FakeSharedTable();
  const endpoints = await Promise.all(
    Array.from({ length: ENDPOINTS }, (_, index) =>
      startEndpoint(respond, () => registrations.delete(`i-${index}`)),
    ),
  );
  endpoints.forEach(({ port }, index) =>
    registrations.write(`i-${index}`, createRegistration(`i-${index}`, port)),
  );
  const gateway = await startGateway(
    SETTINGS,
    createDependencies(
      createRows(endpoints.map(({ port }) => port)),
      new FakeSharedTable(),
      Math.random,
      registrations,
    ),
    '/ready',
  );
  test.teardown(async () => {
    await gateway.drain('test');
    for (const { stop } of endpoints) stop();
  });
  await waitUntilReady(gateway);
  const countCrashes = () => endpoints.reduce((sum, { getCrashes }) => sum + getCrashes(), 0);
  return { gateway, countCrashes };
};

const EVENT_STREAM = { 'content-type': 'text/event-stream' };
const createEvent = (id: number) => `id: ${id}\ndata: ${id}\n\n`;

/** Sends the request that crashes endpoints again and again, as long as an endpoint is left. */
const sendPoison = async (gateway: Gateway, path: string) => {
  let refusals = 0;
  for (let request = 0; request < 2 * ENDPOINTS; request++) {
    const { status, text } = await send(gateway, path, `p${request}`, POISON_BODY).catch(() => ({
      status: 0,
      text: '',
    }));
    if (status === 503 && text.includes('request_quarantined')) refusals += 1;
    await wait(PAUSE_MS);
  }
  return refusals;
};

const CRASHES_AFTER: Readonly<
  Record<string, { path: string; respond: (exchange: Exchange) => void }>
> = {
  'the first event': {
    path: '/generate/poison',
    respond: ({ response, isPoison, crash }) => {
      response.writeHead(200, EVENT_STREAM);
      response.write(createEvent(1));
      if (isPoison) setTimeout(crash, 20);
      else response.end();
    },
  },
  'the third event': {
    path: '/generate/poison',
    respond: ({ response, isPoison, crash }) => {
      response.writeHead(200, EVENT_STREAM);
      response.write(createEvent(1));
      setTimeout(() => response.write(createEvent(2) + createEvent(3)), 20);
      setTimeout(() => {
        if (isPoison) crash();
        else response.end();
      }, 40);
    },
  },
  'a part of a body': {
    path: '/claim/poison',
    respond: ({ response, isPoison, crash }) => {
      response.writeHead(200, { 'content-length': 10 });
      response.write('half ');
      if (isPoison) setTimeout(crash, 20);
      else response.end('whole');
    },
  },
  'its whole answer': {
    path: '/claim/poison',
    respond: ({ response, isPoison, crash }) => {
      response.end('whole');
      if (isPoison) setTimeout(crash, 20);
    },
  },
};

// Guards against a request that crashes endpoints again and again, as it crashes them only after their first output.
for (const [moment, { path, respond }] of Object.entries(CRASHES_AFTER)) {
  t.test(`a request that crashes endpoints after ${moment} is held back`, async (t2) => {
    const { gateway, countCrashes } = await startNode(t2, respond);
    // Sound requests keep connections to the endpoints in use.
    for (let index = 0; index < ENDPOINTS; index++)
      await send(gateway, `${path}-${index}`, `s${index}`, 'sound');
    const refusals = await sendPoison(gateway, path);
    t2.ok(countCrashes() <= MAX_CRASHES, `${countCrashes()} crashes`);
    t2.ok(refusals > 0, `${refusals} refusals`);
    const sound = await send(gateway, `${path}-sound`, 'sound', 'sound');
    t2.equal(sound.status, 200, 'others are served');
  });
}

// Guards against a path that is held back for all callers because its answers were lost by endpoints that live on.
t.test('a request whose answers are lost is not held back', async (t2) => {
  let lost = 0;
  const { gateway } = await startNode(t2, ({ response, isPoison }) => {
    if (isPoison && lost < 4) {
      lost += 1;
      response.socket?.destroy();
    } else setTimeout(() => response.end('whole'), 5);
  });
  // Slow requests keep a further connection to each endpoint established.
  for (let round = 0; round < 3; round++)
    await Promise.all(
      Array.from({ length: 3 * ENDPOINTS }, (_, index) =>
        send(gateway, `/claim/sound-${round}-${index}`, `s${round}-${index}`, 'sound'),
      ),
    );
  const statuses: number[] = [];
  for (let request = 0; request < 8; request++) {
    const { status } = await send(gateway, '/claim/poison', `p${request}`, POISON_BODY);
    statuses.push(status);
    await wait(PAUSE_MS);
  }
  t2.equal(lost, 4);
  t2.notOk(statuses.includes(503), statuses.join(', '));
  t2.equal(statuses.at(-1), 200);
});
