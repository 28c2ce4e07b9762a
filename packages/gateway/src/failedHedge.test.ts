import type { ServerResponse } from 'node:http';
import t from 'tap';
import { startGateway } from './index.js';
import {
  CONFIGURATION,
  CONFIGURATION_KEY,
  createDependencies,
  createRows,
  FakeEndpoint,
  REQUEST_ID_HEADER,
  SEAL_HEADER,
  send,
  SETTINGS,
  waitUntilReady,
} from './testGateway.js';

/** Requests that make the usual response time known. */
const WARM_UP_REQUESTS = 60;
/** Requests of which one has to be hedged. */
const MAX_TRIALS = 8;
/** A call that reaches a second endpoint later was withdrawn rather than hedged; its stall limit is 500 ms. */
const MAX_HEDGE_DELAY_MS = 400;

// Guards against a call that waits at a silent endpoint until its time limit because its hedge was rejected.
t.test('a call whose hedge is rejected is withdrawn from a silent endpoint', async (t2) => {
  const endpoints = [new FakeEndpoint(), new FakeEndpoint(), new FakeEndpoint()];
  const rows = createRows(await Promise.all(endpoints.map((endpoint) => endpoint.start())));
  const routes = CONFIGURATION.routes.map((route) => ({ ...route, maxAttempts: 3 }));
  const configuration = { key: CONFIGURATION_KEY, version: 1, value: JSON.stringify({ routes }) };
  const settings = { ...SETTINGS, hedgingShares: new Map([['app', 0.2]]) };
  const gateway = await startGateway(
    settings,
    createDependencies(new Map([...rows, ['operator', [configuration]]])),
    '/ready',
  );
  t2.teardown(async () => {
    for (const endpoint of endpoints) endpoint.stop();
    await gateway.drain('test');
  });
  await waitUntilReady(gateway);
  for (let index = 0; index < WARM_UP_REQUESTS; index += 1)
    await send(gateway, '/quick/x', `warm-${index}`);
  let arrivedAtMs: number[] = [];
  const handle = (id: string, response: ServerResponse) => {
    arrivedAtMs.push(performance.now());
    const headers = { [REQUEST_ID_HEADER]: id, [SEAL_HEADER]: '1' };
    if (arrivedAtMs.length === 2) response.writeHead(503, { ...headers, 'x-not-run': '1' }).end();
    if (arrivedAtMs.length === 3) response.writeHead(200, headers).end('third');
  };
  for (const endpoint of endpoints)
    endpoint.handle = ({ headers }, response) =>
      handle(String(headers[REQUEST_ID_HEADER]), response);
  for (let trial = 0; trial < MAX_TRIALS; trial += 1) {
    arrivedAtMs = [];
    const { status, text } = await send(gateway, '/quick/x', `trial-${trial}`);
    const [firstAtMs = 0, secondAtMs = Infinity] = arrivedAtMs;
    if (secondAtMs - firstAtMs > MAX_HEDGE_DELAY_MS) continue;
    t2.strictSame([status, text, arrivedAtMs.length], [200, 'third', 3]);
    return;
  }
  t2.fail('no call was hedged');
});
