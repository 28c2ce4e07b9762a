import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import t from 'tap';
import { startGateway } from './index.js';
import {
  createDependencies,
  createRows,
  FakeEndpoint,
  PARTS_HEADER,
  REQUEST_ID_HEADER,
  SEAL_HEADER,
  send,
  SETTINGS,
  waitUntilReady,
} from './testGateway.js';

/** A prompt that takes the endpoint over a second by the forecast, so that less urgent requests wait behind it. */
const LONG_PROMPT = 'p1:80000';
const SHORT_PROMPT = 'p2:100';

/** Endpoint that answers the requests with long prompts when it is told to, and others at once. */
const createSlowEndpoint = () => {
  const endpoint = new FakeEndpoint();
  const waiting: (() => void)[] = [];
  const answer = (id: string, response: ServerResponse) =>
    response
      .writeHead(200, {
        [SEAL_HEADER]: '1',
        [REQUEST_ID_HEADER]: id,
        'content-type': 'text/event-stream',
      })
      .end('id: 1\ndata: x\n\n');
  endpoint.handle = (incoming, response) => {
    const id = String(incoming.headers[REQUEST_ID_HEADER]);
    if (id.startsWith('long')) waiting.push(() => answer(id, response));
    else answer(id, response);
  };
  const answerAll = () => {
    for (const run of waiting.splice(0)) run();
  };
  return { endpoint, answerAll };
};

const startBusyGateway = async () => {
  const { endpoint, answerAll } = createSlowEndpoint();
  const gateway = await startGateway(
    SETTINGS,
    createDependencies(createRows([await endpoint.start()])),
    '/ready',
  );
  await waitUntilReady(gateway);
  const pollGateway = async () => {
    for (let poll = 0; poll < 20; poll++) await send(gateway, '/read/x', 'poll');
  };
  const long = send(gateway, '/generate/x', 'long', 'long', LONG_PROMPT);
  await pollGateway();
  const stop = async () => {
    answerAll();
    await long;
    await gateway.drain('test');
    endpoint.stop();
  };
  return { gateway, endpoint, answerAll, pollGateway, stop };
};

t.test('a less urgent request waits at the node while the endpoint is busy', async (t2) => {
  const { gateway, endpoint, answerAll, pollGateway, stop } = await startBusyGateway();
  const bulk = send(gateway, '/bulk/x', 'bulk', 'bulk', SHORT_PROMPT);
  await pollGateway();
  t2.notOk(endpoint.received.includes('bulk'), 'it is not sent to the busy endpoint');
  answerAll();
  t2.equal((await bulk).status, 200, 'it is sent when there is room');
  await stop();
});

t.test('a request whose caller leaves while it waits reaches no endpoint', async (t2) => {
  const { gateway, endpoint, answerAll, pollGateway, stop } = await startBusyGateway();
  const socket = connect(gateway.callerPort, '127.0.0.1');
  const lines = [
    'GET /bulk/x HTTP/1.1',
    'host: a.example',
    `${REQUEST_ID_HEADER}: left`,
    `${PARTS_HEADER}: ${SHORT_PROMPT}`,
  ];
  socket.write(`${lines.join('\r\n')}\r\n\r\n`);
  await pollGateway();
  socket.destroy();
  await once(socket, 'close');
  await pollGateway();
  answerAll();
  t2.equal((await send(gateway, '/bulk/x', 'next', 'next', SHORT_PROMPT)).status, 200);
  await pollGateway();
  t2.notOk(endpoint.received.includes('left'));
  await stop();
});

t.test('requests that wait when the node shuts down are refused at once', async (t2) => {
  const { gateway, endpoint, pollGateway, stop } = await startBusyGateway();
  const bulk = send(gateway, '/bulk/x', 'bulk', 'bulk', SHORT_PROMPT);
  await pollGateway();
  const stopped = gateway.drain('test');
  const { status, text, headers } = await bulk;
  t2.equal(status, 503);
  t2.match(text, 'not_run');
  t2.ok(Number(headers['retry-after']) > 0);
  t2.notOk(endpoint.received.includes('bulk'));
  await stop();
  await stopped;
});
