import t from 'tap';
import { type Gateway, startGateway } from './index.js';
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
import { FakeSharedTable } from './testSharedTable.js';

/** Part that crashes every endpoint; the other parts are those of requests that succeed. */
const CRASHING_PART = 'bad';
/** Crashes after which requests with the part may no longer reach endpoints, from the users' rules. */
const ALLOWED_CRASHES = 5;
/** Sends that the rules allow after these crashes. */
const ALLOWED_LATE_SENDS = 3;
const ENDPOINT_COUNT = 12;
/** A start of one of the endpoints, in the rows that nodes publish. */
const ENDPOINT_START = /i-\d+\/1/g;

/**
 * Starts endpoints whose connections are reset, as in a crash, by requests that have the crashing part. They serve
 * all others.
 *
 * @param isTruncated whether a crash ends the connection after an event of a stream without chunks
 */
const startEndpoints = async (isTruncated: (crash: number) => boolean = () => false) => {
  let crashes = 0;
  const endpoints = Array.from({ length: ENDPOINT_COUNT }, () => {
    const endpoint = new FakeEndpoint();
    const serveRequest = endpoint.handle;
    endpoint.handle = (incoming, response) => {
      if (!String(incoming.headers[PARTS_HEADER]).includes(CRASHING_PART)) {
        serveRequest(incoming, response);
        return;
      }
      crashes += 1;
      if (!isTruncated(crashes)) {
        incoming.socket.resetAndDestroy();
        return;
      }
      const head = `HTTP/1.1 200 OK\r\n${SEAL_HEADER}: 1\r\nContent-Type: text/event-stream\r\n`;
      const requestId = String(incoming.headers[REQUEST_ID_HEADER]);
      incoming.socket.end(`${head}${REQUEST_ID_HEADER}: ${requestId}\r\n\r\nid: 1\ndata: a\n\n`);
    };
    return endpoint;
  });
  const ports = await Promise.all(endpoints.map((endpoint) => endpoint.start()));
  return {
    rows: createRows(ports),
    countCrashes: () => crashes,
    stop: () => {
      for (const endpoint of endpoints) endpoint.stop();
    },
  };
};

let requestCount = 0;

/** Sends a request whose own part and body no other request has. */
const sendWithParts = (gateway: Gateway, sharedParts: readonly string[], path = '/generate/x') => {
  requestCount += 1;
  const id = `q${requestCount}`;
  const parts = [...sharedParts, `own-${id}`].map((part) => `${part}:100`).join(',');
  return send(gateway, path, id, `prompt ${id}`, parts);
};

/** Sends requests with the crashing part until one is refused or `limit` were sent; returns how many. */
const sendUntilRefused = async (gateway: Gateway, limit: number) => {
  for (let sent = 1; sent <= limit; sent++) {
    const { status } = await sendWithParts(gateway, ['common', CRASHING_PART]);
    if (status === 503) return sent;
  }
  return limit;
};

/** Whether the gateway refuses a request with the crashing part without sending it to an endpoint. */
const isRefused = async (gateway: Gateway) => {
  const { status, text } = await sendWithParts(gateway, ['common', CRASHING_PART]);
  return status === 503 && text.includes('request_quarantined');
};

// Guards against counting crashes for whole requests only: no two of these requests are alike.
t.test(
  'different requests that share a part which crashes endpoints are refused after five crashes',
  async (t2) => {
    const { rows, countCrashes, stop } = await startEndpoints();
    const gateway = await startGateway(SETTINGS, createDependencies(rows), '/ready');
    await waitUntilReady(gateway);
    for (let index = 0; index < 4; index++) await sendWithParts(gateway, ['common', 'sound']);
    await sendUntilRefused(gateway, 3 * ENDPOINT_COUNT);
    t2.ok(countCrashes() <= ALLOWED_CRASHES + ALLOWED_LATE_SENDS, `${countCrashes()} crashes`);
    for (const parts of [['common', 'sound'], ['common', 'new'], ['other']]) {
      t2.equal((await sendWithParts(gateway, parts)).status, 200, `${parts.join(',')} is served`);
    }
    await gateway.drain('test');
    stop();
  },
);

// Guards against a quarantine that only new requests pass: a repeat crashes an endpoint as well.
t.test('a request is not repeated once its part is quarantined', async (t2) => {
  const { rows, countCrashes, stop } = await startEndpoints();
  const gateway = await startGateway(SETTINGS, createDependencies(rows), '/ready');
  await waitUntilReady(gateway);
  const sendRepeatable = () => sendWithParts(gateway, ['common', CRASHING_PART], '/stream/x');
  await sendRepeatable();
  await sendRepeatable();
  t2.equal(countCrashes(), 4, 'each request is sent twice');
  t2.equal((await sendRepeatable()).status, 502, 'it may have run');
  t2.equal(countCrashes(), 5, 'the third request is not sent again');
  await gateway.drain('test');
  stop();
});

// Guards against taking the end of the connection in a crash for a completed request, which clears the part.
t.test('a response that ends with its connection does not clear a part', async (t2) => {
  const { rows, countCrashes, stop } = await startEndpoints((crash) => crash % 2 === 0);
  const gateway = await startGateway(SETTINGS, createDependencies(rows), '/ready');
  await waitUntilReady(gateway);
  await sendUntilRefused(gateway, 3 * ENDPOINT_COUNT);
  t2.ok(countCrashes() <= ALLOWED_CRASHES + ALLOWED_LATE_SENDS, `${countCrashes()} crashes`);
  await gateway.drain('test');
  stop();
});

// Guards against refusing sound requests by the part that only they have.
t.test('the last part of a prompt is never refused', async (t2) => {
  const { rows, stop } = await startEndpoints();
  const gateway = await startGateway(SETTINGS, createDependencies(rows), '/ready');
  await waitUntilReady(gateway);
  for (let index = 0; index < ALLOWED_CRASHES; index++) {
    const parts = `common-${index}:100,${CRASHING_PART}:100`;
    await send(gateway, '/generate/x', `l${index}`, `prompt l${index}`, parts);
  }
  const { text } = await send(gateway, '/generate/x', 'l-last', 'prompt', `${CRASHING_PART}:100`);
  t2.notMatch(text, 'request_quarantined');
  await gateway.drain('test');
  stop();
});

// Guards against a node that sends such requests although other nodes have seen the crashes.
t.test('a node refuses a part that crashed endpoints under requests of other nodes', async (t2) => {
  const { rows, countCrashes, stop } = await startEndpoints();
  const shared = new FakeSharedTable();
  const start = (nodeName: string) =>
    startGateway({ ...SETTINGS, nodeName }, createDependencies(rows, shared), '/ready');
  const [first, second] = [await start('n1'), await start('n2')];
  await Promise.all([waitUntilReady(first), waitUntilReady(second)]);
  for (let index = 0; index < 2; index++) await sendWithParts(second, ['common', 'sound']);
  await sendUntilRefused(first, ALLOWED_CRASHES);
  await shared.waitUntilRead(2, ENDPOINT_START, countCrashes());
  t2.ok(await isRefused(second), 'the other node refuses the part');
  t2.ok(countCrashes() <= ALLOWED_CRASHES, `${countCrashes()} crashes`);
  t2.equal((await sendWithParts(second, ['common', 'sound'])).status, 200);
  await Promise.all([first.drain('test'), second.drain('test')]);
  stop();
});

// Guards against a restart that loses the crashes, or overwrites those that the node had published.
t.test('a restarted node refuses a part that crashed endpoints before its restart', async (t2) => {
  const { rows, countCrashes, stop } = await startEndpoints();
  const shared = new FakeSharedTable();
  const start = () => startGateway(SETTINGS, createDependencies(rows, shared), '/ready');
  const first = await start();
  await waitUntilReady(first);
  await sendUntilRefused(first, ALLOWED_CRASHES);
  await shared.waitUntilRead(1, ENDPOINT_START, countCrashes());
  await first.drain('test');
  for (let restart = 1; restart <= 2; restart++) {
    const gateway = await start();
    await waitUntilReady(gateway);
    await shared.waitUntilRead(1, ENDPOINT_START, 1);
    t2.ok(await isRefused(gateway), `the part is refused after restart ${restart}`);
    t2.equal((await sendWithParts(gateway, ['common', 'sound'])).status, 200);
    // The crash of another part is published beside those of the earlier start.
    await sendWithParts(gateway, [`${CRASHING_PART}-${restart}`]);
    await gateway.drain('test');
  }
  stop();
});
