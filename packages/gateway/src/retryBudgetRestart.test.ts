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

const REQUESTS_PER_START = 20;
/** One window contains the whole test, whatever it takes. */
const BOUNDS = {
  ...SETTINGS.bounds,
  retryBudgetRatio: 0.2,
  retrySlack: 10,
  retryWindowS: 3_600,
};

const createFailingEndpoint = () => {
  const endpoint = new FakeEndpoint();
  endpoint.handle = (incoming, response) => {
    const id = String(incoming.headers[REQUEST_ID_HEADER]);
    response
      .writeHead(id === 'ready' ? 200 : 500, { [SEAL_HEADER]: '1', [REQUEST_ID_HEADER]: id })
      .end('whole');
  };
  return endpoint;
};

// Guards against a process that starts with a full budget although its former process, in the same window,
// has used this node's share.
t.test('retries before and after a restart stay within the budget of one window', async (t2) => {
  const endpoints = [createFailingEndpoint(), createFailingEndpoint(), createFailingEndpoint()];
  const ports = await Promise.all(endpoints.map((endpoint) => endpoint.start()));
  t2.teardown(() => {
    for (const endpoint of endpoints) endpoint.stop();
  });
  const shared = new FakeSharedTable();
  for (const start of ['a', 'b']) {
    const gateway = await startGateway(
      { ...SETTINGS, isFirstStart: start === 'a', bounds: BOUNDS },
      createDependencies(createRows(ports), shared, () => 0.5),
      '/ready',
    );
    // A killed process sends nothing more; this one is idle from the next start on.
    t2.teardown(() => gateway.drain('test'));
    await waitUntilReady(gateway);
    for (let index = 0; index < REQUESTS_PER_START; index += 1) {
      await send(gateway, '/read/x', `${start}-${index}`);
    }
  }
  const received = endpoints
    .flatMap((endpoint) => endpoint.received)
    .filter((id) => id !== 'ready');
  const requests = new Set(received).size;
  const retries = received.length - requests;
  t2.equal(requests, 2 * REQUESTS_PER_START);
  const maxRetries = requests * BOUNDS.retryBudgetRatio + BOUNDS.retrySlack;
  t2.ok(retries <= maxRetries, `${retries} retries of ${requests} requests, limit ${maxRetries}`);
});
