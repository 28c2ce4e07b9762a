import type { ServerResponse } from 'node:http';
import { setTimeout as waitMs } from 'node:timers/promises';
import t from 'tap';
import { startGateway } from './index.js';
import {
  createDependencies,
  createRows,
  FakeEndpoint,
  REQUEST_ID_HEADER,
  SEAL_HEADER,
  send,
  SETTINGS,
  waitUntilReady,
} from './testGateway.js';
import { FakeSharedTable } from './testSharedTable.js';

/** More nodes than receive each other's digests. */
const NODES = 20;
const WARM_UP_ROUNDS = 4;
const TRIALS = 3;
/** Age above which a load report of a small deployment no longer counts. */
const REPORT_AGE_MS = 1_100;
/** Time after which the first endpoint of a trial answers; hedges are sent before. */
const ANSWER_DELAY_MS = 300;

// Guards against hedges that queue before urgent requests of other zones, at an endpoint that this node rarely hears of.
t.test('a late call of one node of many is not hedged at an endpoint with a queue', async (t2) => {
  const endpoints = [new FakeEndpoint(), new FakeEndpoint()];
  const shared = new FakeSharedTable();
  const rows = createRows(await Promise.all(endpoints.map((endpoint) => endpoint.start())));
  const dependencies = createDependencies(rows, shared);
  const { headers } = dependencies;
  const gateway = await startGateway(
    { ...SETTINGS, hedgingShares: new Map([['app', 0.2]]) },
    {
      ...dependencies,
      headers: {
        ...headers,
        decodeResponseHead: (status, fields) => ({
          ...headers.decodeResponseHead(status, fields),
          load: { running: 4, waiting: 2, slots: 4 },
        }),
      },
    },
    '/ready',
  );
  t2.teardown(async () => {
    for (const endpoint of endpoints) endpoint.stop();
    await gateway.drain('test');
  });
  await waitUntilReady(gateway);
  for (let index = 1; index < NODES; index += 1) {
    const address = `127.0.0.1:${index}`;
    shared.write(`peer/m${index}`, { address, loadAddress: address, zone: 'z2' });
  }
  // At once, so that both endpoints get some.
  const sendMany = () =>
    Promise.all(Array.from({ length: 20 }, (_, index) => send(gateway, '/read/x', `w-${index}`)));
  for (let round = 0; round < WARM_UP_ROUNDS; round += 1) await sendMany();
  let delayMs = 0;
  const answer = (id: string, response: ServerResponse) => {
    setTimeout(() => {
      response.writeHead(200, { [SEAL_HEADER]: '1', [REQUEST_ID_HEADER]: id }).end('whole');
    }, delayMs);
  };
  for (const endpoint of endpoints)
    endpoint.handle = (incoming, response) =>
      answer(String(incoming.headers[REQUEST_ID_HEADER]), response);
  for (let trial = 0; trial < TRIALS; trial += 1) {
    delayMs = 0;
    await sendMany();
    await waitMs(REPORT_AGE_MS);
    delayMs = ANSWER_DELAY_MS;
    const id = `trial-${trial}`;
    await send(gateway, '/read/x', id);
    const sends = endpoints.flatMap(({ received }) => received.filter((one) => one === id));
    t2.equal(sends.length, 1);
  }
});
