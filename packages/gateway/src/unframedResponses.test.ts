import { createServer, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import t from 'tap';
import { startGateway } from './index.js';
import {
  createDependencies,
  createRows,
  REQUEST_ID_HEADER,
  SEAL_HEADER,
  send,
  SETTINGS,
  waitUntilReady,
} from './testGateway.js';

type Respond = (socket: Socket, requestId: string, lastEventId: string) => void;

/** Endpoint that writes its responses itself, so that they can lack a length and chunks. */
const startRawEndpoint = async (
  getRespond: () => Respond,
): Promise<{ readonly server: Server; readonly port: number }> => {
  const server = createServer((socket) => {
    let text = '';
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      if (!text.includes('\r\n\r\n')) return;
      const findHeader = (name: string) =>
        new RegExp(`^${name}: (.*)$`, 'im').exec(text)?.[1]?.trim() ?? '';
      const [requestId, lastEventId] = [findHeader(REQUEST_ID_HEADER), findHeader('last-event-id')];
      text = '';
      getRespond()(socket, requestId, lastEventId);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  return { server, port: typeof address === 'object' && address !== null ? address.port : 0 };
};

const createHead = (requestId: string, contentType: string) =>
  [
    'HTTP/1.1 200 OK',
    `${REQUEST_ID_HEADER}: ${requestId}`,
    `${SEAL_HEADER}: 1`,
    `Content-Type: ${contentType}`,
    '',
    '',
  ].join('\r\n');

const PLAIN = 'text/plain';
const EVENTS = 'text/event-stream';
const EVENT_1 = 'id: 1\ndata: a\n\n';
const EVENT_2 = 'id: 2\ndata: b\n\n';

t.test('responses with neither a length nor chunks', async (t2) => {
  let respond: Respond = (socket, requestId) => socket.end(`${createHead(requestId, PLAIN)}whole`);
  const endpoints = [await startRawEndpoint(() => respond), await startRawEndpoint(() => respond)];
  const rows = createRows(endpoints.map(({ port }) => port));
  const gateway = await startGateway(SETTINGS, createDependencies(rows), '/ready');
  await waitUntilReady(gateway);

  await t2.test('a response that ends with its connection is complete', async (t3) => {
    const { status, text } = await send(gateway, '/claim/x', 'p1');
    t3.equal(status, 200);
    t3.equal(text, 'whole');
  });

  // Guards against an incomplete response that looks complete to its caller.
  await t2.test('a response whose connection is reset is not complete', async (t3) => {
    respond = (socket, requestId) => {
      socket.write(`${createHead(requestId, PLAIN)}who`, () => {
        setImmediate(() => socket.resetAndDestroy());
      });
    };
    const { status } = await send(gateway, '/claim/x', 'p2');
    t3.equal(status, 502);
  });

  await t2.test('a stream that ends with its connection is complete', async (t3) => {
    respond = (socket, requestId) => {
      socket.write(`${createHead(requestId, EVENTS)}${EVENT_1}`, () => {
        setImmediate(() => socket.end(EVENT_2));
      });
    };
    const { status, text } = await send(gateway, '/stream/x', 's1', 'prompt');
    t3.equal(status, 200);
    t3.equal(text, `${EVENT_1}${EVENT_2}`);
  });

  // Guards against taking a crash of the endpoint, which ends the connection, for the end of the stream.
  await t2.test('a stream that ends inside an event is resumed after the last one', async (t3) => {
    respond = (socket, requestId, lastEventId) => {
      const events = lastEventId === '0' ? `${EVENT_1}id: 2\nda` : EVENT_2;
      socket.end(`${createHead(requestId, EVENTS)}${events}`);
    };
    const { text } = await send(gateway, '/stream/x', 's2', 'prompt');
    t3.equal(text, `${EVENT_1}${EVENT_2}`);
  });

  await t2.test(
    'a stream that ends inside an event and can not be resumed is cut for its caller as well',
    async (t3) => {
      respond = (socket, requestId) =>
        socket.end(`${createHead(requestId, EVENTS)}${EVENT_1}id: 2\nda`);
      t3.equal((await send(gateway, '/generate/x', 's3', 'prompt')).text, 'cut');
    },
  );

  // Guards against an empty success: an endpoint that crashes before its first event ends the connection.
  await t2.test('a stream that ends before its first event is broken off', async (t3) => {
    respond = (socket, requestId) => socket.end(createHead(requestId, EVENTS));
    t3.equal((await send(gateway, '/generate/x', 's4', 'prompt')).status, 502);
  });

  await t2.test('a resumed stream may have no further event', async (t3) => {
    respond = (socket, requestId, lastEventId) => {
      if (lastEventId === '1') socket.end(createHead(requestId, EVENTS));
      else
        socket.write(`${createHead(requestId, EVENTS)}${EVENT_1}`, () => {
          setImmediate(() => socket.resetAndDestroy());
        });
    };
    const { text } = await send(gateway, '/stream/x', 's5', 'prompt');
    t3.equal(text, EVENT_1);
  });

  await gateway.drain('test');
  for (const { server } of endpoints) server.close();
});
