import { createServer, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import t, { type Test } from 'tap';
import { type Gateway, startGateway } from './index.js';
import {
  CONFIGURATION,
  createDependencies,
  createRows,
  REQUEST_ID_HEADER,
  SEAL_HEADER,
  send,
  SETTINGS,
  waitUntilReady,
} from './testGateway.js';

const HTTP_BAD_GATEWAY = 502;
const UPLOAD_BYTES = 4_000_000;

type Respond = (socket: Socket, requestId: string) => void;

const createHead = (status: string, requestId: string, ...headers: readonly string[]): string =>
  [
    `HTTP/1.1 ${status} Status`,
    `${REQUEST_ID_HEADER}: ${requestId}`,
    `${SEAL_HEADER}: 1`,
    ...headers,
    '',
    '',
  ].join('\r\n');

/** Endpoint that answers once it has read the head of a request, and reads nothing beyond. */
const startRawEndpoint = async (getRespond: () => Respond): Promise<Server> => {
  const server = createServer((socket) => {
    let text = '';
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      if (!text.includes('\r\n\r\n')) return;
      const id = new RegExp(`^${REQUEST_ID_HEADER}: (.*)$`, 'im').exec(text)?.[1]?.trim() ?? '';
      text = '';
      if (id === 'ready') socket.write(`${createHead('200', id, 'Content-Length: 2')}ok`);
      else getRespond()(socket, id);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
};

const startWorld = async (test: Test, getRespond: () => Respond): Promise<Gateway> => {
  const server = await startRawEndpoint(getRespond);
  test.teardown(() => server.close());
  const address = server.address();
  const port = typeof address === 'object' && address !== null ? address.port : 0;
  const rows = createRows([port]);
  const limits = { ...CONFIGURATION.limits, maxBodyBytes: 2 * UPLOAD_BYTES };
  const [configuration] = rows.get('operator') ?? [];
  rows.set('operator', [{ ...configuration!, value: JSON.stringify({ limits }) }]);
  const gateway = await startGateway(SETTINGS, createDependencies(rows), '/ready');
  test.teardown(async () => gateway.drain('test'));
  await waitUntilReady(gateway);
  return gateway;
};

// Guards against an answer with a status that HTTP doesn't have, which a caller can't read or takes for a success.
t.test('a response whose status is none is replaced with a failure', async (t2) => {
  let status = '200';
  const gateway = await startWorld(t2, () => (socket, id) => {
    socket.end(`${createHead(status, id, 'Content-Length: 5')}whole`);
  });
  for (status of ['000', '020', '20', '099', '101', '199', '600', '700', '999', '2000', '2x0']) {
    const answer = await send(gateway, '/claim/x', `status-${status}`);
    t2.equal(answer.status, HTTP_BAD_GATEWAY, status);
    t2.notOk(answer.text.includes('whole'), status);
  }
  for (status of ['201', '404', '599']) {
    const answer = await send(gateway, '/claim/x', `status-${status}`);
    t2.strictSame([answer.status, answer.text], [Number(status), 'whole']);
  }
});

// Guards against the bytes of an encoding that the caller didn't ask for, and takes for the endpoint's own.
t.test('a response whose body is encoded is replaced with a failure', async (t2) => {
  let headers: readonly string[] = [];
  const gateway = await startWorld(t2, () => (socket, id) => {
    const isCoded = headers.some((header) => header.startsWith('Transfer'));
    const body = headers.some((header) => header.endsWith('chunked'))
      ? '5\r\nwhole\r\n0\r\n\r\n'
      : 'whole';
    const length = isCoded ? [] : ['Content-Length: 5'];
    socket.end(`${createHead('200', id, ...length, ...headers)}${body}`);
  });
  headers = ['Content-Encoding: gzip'];
  t2.equal((await send(gateway, '/claim/x', 'encoded')).status, HTTP_BAD_GATEWAY);
  headers = ['Transfer-Encoding: gzip'];
  t2.equal((await send(gateway, '/claim/x', 'coded')).status, HTTP_BAD_GATEWAY);
  headers = ['Transfer-Encoding: gzip, chunked'];
  t2.equal((await send(gateway, '/claim/x', 'coded-chunks')).status, HTTP_BAD_GATEWAY);
  headers = ['Content-Language: en'];
  t2.equal((await send(gateway, '/claim/x', 'plain')).text, 'whole');
});

/** Ways in which a response breaks off while the request is still being written. */
const BREAKS: Readonly<Record<string, Respond>> = {
  'is reset without a length': (socket, id) => {
    socket.pause();
    socket.write(`${createHead('200', id)}part`, () => {
      setImmediate(() => socket.resetAndDestroy());
    });
  },
  'is reset in the middle of its length': (socket, id) => {
    socket.pause();
    socket.write(`${createHead('200', id, 'Content-Length: 50')}part`, () => {
      setImmediate(() => socket.resetAndDestroy());
    });
  },
  'ends before its length': (socket, id) => {
    socket.end(`${createHead('200', id, 'Content-Length: 50')}part`);
  },
  'ends before its last chunk': (socket, id) => {
    socket.end(`${createHead('200', id, 'Transfer-Encoding: chunked')}4\r\npart\r\n`);
  },
  'has two lengths': (socket, id) => {
    socket.end(`${createHead('200', id, 'Content-Length: 4', 'Content-Length: 50')}part`);
  },
};

for (const [name, respond] of Object.entries(BREAKS)) {
  // Guards against a part of an answer that looks whole to a caller whose upload is still being written.
  t.test(`a response to a long upload that ${name} is not passed on as whole`, async (t2) => {
    const gateway = await startWorld(t2, () => respond);
    const upload = 'x'.repeat(UPLOAD_BYTES);
    for (const path of ['/claim/x', '/read/x']) {
      const { status, text } = await send(gateway, path, `upload${path}`, upload);
      t2.ok(status === HTTP_BAD_GATEWAY || text === 'cut', `${path}: ${status}`);
      t2.notOk(text.includes('part'), path);
    }
  });
}
