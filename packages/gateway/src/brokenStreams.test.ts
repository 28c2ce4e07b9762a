import type { ServerResponse } from 'node:http';
import t from 'tap';
import { request } from 'undici';
import { MAX_BUFFERED_RESPONSE_BYTES, startGateway, type Gateway } from './index.js';
import {
  createDependencies,
  createRows,
  FakeEndpoint,
  REQUEST_ID_HEADER,
  SEAL_HEADER,
  SETTINGS,
  waitUntilReady,
} from './testGateway.js';

const EVENTS = 'text/event-stream';
const EVENT_1 = 'id: 1\ndata: a\n\n';
const LARGE_BODY = 'x'.repeat(MAX_BUFFERED_RESPONSE_BYTES + 1);

/** Sends a request; returns all bytes of the response's body and whether it ended as complete. */
const readStream = async (gateway: Gateway, id: string) => {
  const response = await request(`http://127.0.0.1:${gateway.callerPort}/stream/x`, {
    method: 'POST',
    headers: { host: 'a.example', [REQUEST_ID_HEADER]: id },
    body: 'prompt',
  });
  let text = '';
  try {
    for await (const chunk of response.body) text += String(chunk);
    return { status: response.statusCode, text, isComplete: true };
  } catch {
    return { status: response.statusCode, text, isComplete: false };
  }
};

const createHeaders = (id: string, contentType: string) => ({
  [SEAL_HEADER]: '1',
  [REQUEST_ID_HEADER]: id,
  'content-type': contentType,
});

interface Answer {
  readonly name: string;
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

const ANSWERS: readonly Answer[] = [
  { name: 'a failure', status: 500, contentType: 'text/plain', body: 'error' },
  { name: 'a rejection without the promise', status: 503, contentType: 'text/plain', body: 'full' },
  { name: 'a client error', status: 404, contentType: 'text/plain', body: 'missing' },
  { name: 'a large client error', status: 400, contentType: 'text/plain', body: LARGE_BODY },
  { name: 'a large failure', status: 500, contentType: 'text/plain', body: LARGE_BODY },
  { name: 'a redirection', status: 302, contentType: 'text/plain', body: '' },
  { name: 'no content', status: 204, contentType: 'text/plain', body: '' },
  { name: 'a success that is no stream', status: 200, contentType: 'text/plain', body: 'whole' },
  {
    name: 'a large success that is no stream',
    status: 200,
    contentType: 'text/plain',
    body: LARGE_BODY,
  },
  { name: 'a failure as a stream', status: 500, contentType: EVENTS, body: 'id: 2\ndata: b\n\n' },
  {
    name: 'a client error as a stream',
    status: 404,
    contentType: EVENTS,
    body: 'id: 2\ndata: b\n\n',
  },
];

t.test('a stream that broke off', async (t2) => {
  const next = { answer: (_response: ServerResponse, _id: string): void => undefined };
  const endpoints = [new FakeEndpoint(), new FakeEndpoint()];
  const ports = await Promise.all(endpoints.map((endpoint) => endpoint.start()));
  const gateway = await startGateway(SETTINGS, createDependencies(createRows(ports)), '/ready');
  await waitUntilReady(gateway);
  for (const endpoint of endpoints) {
    endpoint.handle = (incoming, response) => {
      const id = String(incoming.headers[REQUEST_ID_HEADER]);
      const lastEventId = String(incoming.headers['last-event-id']);
      if (lastEventId !== '0') {
        next.answer(response, id);
        return;
      }
      response.writeHead(200, createHeaders(id, EVENTS)).write(EVENT_1, () => {
        setImmediate(() => incoming.socket.resetAndDestroy());
      });
    };
  }

  // Guards against the text of an error in the middle of a stream, and a stream that ends as if complete.
  for (const [index, { name, status, contentType, body }] of ANSWERS.entries()) {
    await t2.test(`is broken off for its caller if the next answer is ${name}`, async (t3) => {
      next.answer = (response, id) =>
        response.writeHead(status, createHeaders(id, contentType)).end(body);
      const result = await readStream(gateway, `e${index}`);
      t3.equal(result.text.slice(0, 100), EVENT_1);
      t3.notOk(result.isComplete);
    });
  }

  // Guards against a stream with a missing piece.
  await t2.test('is broken off if the next endpoint leaves out an event', async (t3) => {
    next.answer = (response, id) =>
      response.writeHead(200, createHeaders(id, EVENTS)).end('id: 3\ndata: c\n\n');
    const result = await readStream(gateway, 'g1');
    t3.equal(result.text, EVENT_1);
    t3.notOk(result.isComplete);
  });

  await t2.test('ends as complete if the next endpoint continues it', async (t3) => {
    next.answer = (response, id) =>
      response.writeHead(200, createHeaders(id, EVENTS)).end('id: 2\ndata: b\n\n');
    const result = await readStream(gateway, 'c1');
    t3.equal(result.text, `${EVENT_1}id: 2\ndata: b\n\n`);
    t3.ok(result.isComplete);
  });

  await gateway.drain('test');
  for (const endpoint of endpoints) endpoint.stop();
});
