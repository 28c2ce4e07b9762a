import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { startGateway } from './index.js';
import { computeFingerprint, STRIKES_PREFIX } from './strikePublisher.js';
import {
  CONFIGURATION,
  CONFIGURATION_KEY,
  createDependencies,
  createRegistration,
  createRows,
  FakeEndpoint,
  send,
  SETTINGS,
  waitUntilReady,
} from './testGateway.js';
import { FakeSharedTable } from './testSharedTable.js';

const WORK_MS = 150;
const PATH = '/bulk/x';
/** Requests of which the last one waits at the gateway for about half a second. */
const BULK = ['b1', 'b2', 'b3', 'b4', 'b5', 'poison'];
const URGENT_COUNT = 8;

// Guards against a request that is sent although it was found to crash endpoints while it waited.
t.test('a held request that is quarantined meanwhile is refused', async (t2) => {
  const [endpoint, shared, operator, registrations] = [
    new FakeEndpoint(),
    new FakeSharedTable(),
    new FakeSharedTable(),
    new FakeSharedTable(),
  ];
  const { handle } = endpoint;
  endpoint.handle = (incoming, response) => setTimeout(() => handle(incoming, response), WORK_MS);
  const port = await endpoint.start();
  registrations.write('i-0', { ...createRegistration('i-0', port), slots: 1 });
  const [first] = CONFIGURATION.routes;
  const common = { ...first!, maxAttempts: 1 };
  operator.write(CONFIGURATION_KEY, {
    routes: [
      ...CONFIGURATION.routes,
      { ...common, name: 'urgent', prefix: '/urgent/', targetLatencyMs: 300 },
      { ...common, name: 'bulk', prefix: '/bulk/', targetLatencyMs: 1_500, priority: 2 },
    ],
  });
  const gateway = await startGateway(
    SETTINGS,
    createDependencies(createRows([port]), shared, Math.random, registrations, operator),
    '/ready',
  );
  t2.teardown(async () => {
    await gateway.drain('test');
    endpoint.stop();
  });
  await waitUntilReady(gateway);
  for (let index = 0; index < URGENT_COUNT; index++)
    await send(gateway, '/urgent/x', `u${index}`, 'body');
  const responses = BULK.map((id) => send(gateway, PATH, id, id));
  await sleep(WORK_MS);
  const fingerprint = computeFingerprint('', PATH, Buffer.from('poison'));
  shared.write(`${STRIKES_PREFIX}n2`, {
    strikes: ['e1/1', 'e2/1', 'e3/1', 'e4/1'].map((start) => [fingerprint, start]),
  });
  const statuses = (await Promise.all(responses)).map(({ status }) => status);
  t2.strictSame(statuses, [200, 200, 200, 200, 200, 503]);
  t2.notOk(endpoint.received.includes('poison'), 'no endpoint gets it');
});
