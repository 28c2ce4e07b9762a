import t from 'tap';
import { startGateway, type GatewayDependencies } from './index.js';
import {
  CONFIGURATION_KEY,
  createDependencies,
  createRegistration,
  createRows,
  EVACUATION_PREFIX,
  FakeEndpoint,
  REQUEST_ID_HEADER,
  SEAL_HEADER,
  send,
  SETTINGS,
  waitUntilReady,
} from './testGateway.js';
import { FakeSharedTable } from './testSharedTable.js';

const REQUESTS = 15;
/** Delay of responses in the other zone, without which all requests would go there once it is faster. */
const SLOW_RESPONSE_MS = 20;
const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';

const rejectRequest: FakeEndpoint['handle'] = (incoming, response) => {
  const id = String(incoming.headers[REQUEST_ID_HEADER]);
  response.writeHead(503, { 'x-not-run': '1', [REQUEST_ID_HEADER]: id }).end();
};

const startZones = async () => {
  const left = new FakeEndpoint();
  const kept = new FakeEndpoint();
  const { handle } = kept;
  kept.handle = (incoming, response) =>
    setTimeout(() => handle(incoming, response), SLOW_RESPONSE_MS);
  const registrations = new FakeSharedTable();
  for (const [zone, endpoint] of [
    ['z1', left],
    ['z2', kept],
  ] as const)
    registrations.write(zone, { ...createRegistration(zone, await endpoint.start()), zone });
  const operator = new FakeSharedTable();
  operator.write(CONFIGURATION_KEY, {});
  const dependencies = createDependencies(
    createRows([]),
    new FakeSharedTable(),
    Math.random,
    registrations,
    operator,
  );
  return { left, kept, operator, dependencies };
};

const startReadyGateway = async (dependencies: GatewayDependencies) => {
  const regionByZone = new Map([
    ['z1', 'r1'],
    ['z2', 'r1'],
  ]);
  const gateway = await startGateway({ ...SETTINGS, regionByZone }, dependencies, '/ready');
  await waitUntilReady(gateway);
  return gateway;
};

t.test('an evacuated zone', async (t2) => {
  const { left, kept, operator, dependencies } = await startZones();
  const gateway = await startReadyGateway(dependencies);
  const sendUntil = async (isDone: () => boolean) => {
    while (!isDone()) t2.equal((await send(gateway, '/read/x', 'search')).status, 200);
  };
  const sendMany = async () => {
    left.received.length = 0;
    kept.received.length = 0;
    for (let index = 0; index < REQUESTS; index++)
      t2.equal((await send(gateway, '/claim/x', `r${index}`)).status, 200);
  };
  await sendUntil(() => left.received.length > 0);

  // Guards against streams that an evacuation cuts off, and against their ends that are checked by a connection.
  await t2.test('a running request ends undisturbed and no other is sent', async (t3) => {
    const { handle } = left;
    let finish = () => undefined as unknown;
    left.handle = (incoming, response) => {
      const id = String(incoming.headers[REQUEST_ID_HEADER]);
      if (!id.startsWith('running')) return handle(incoming, response);
      response.writeHead(200, {
        [SEAL_HEADER]: '1',
        [REQUEST_ID_HEADER]: id,
        'content-type': 'text/event-stream',
      });
      response.write(EVENTS.slice(0, EVENTS.length / 2));
      finish = () => response.end(EVENTS.slice(EVENTS.length / 2));
      return undefined;
    };
    const { handle: keptHandle } = kept;
    kept.handle = rejectRequest;
    const running = send(gateway, '/stream/x', 'running');
    while (!left.received.includes('running'))
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    kept.handle = keptHandle;
    operator.write(`${EVACUATION_PREFIX}z1`, {});
    kept.received.length = 0;
    await sendUntil(() => kept.received.length > 1);
    await sendMany();
    t3.equal(left.received.length, 0);
    t3.equal(kept.received.length, REQUESTS);
    finish();
    t3.match(await running, { status: 200, text: EVENTS });
    left.handle = handle;
  });

  // Guards against a retry that goes to the zone because no other endpoint is left.
  await t2.test('a retry does not go there', async (t3) => {
    const { handle } = kept;
    kept.handle = (_incoming, response) => response.destroy();
    t3.equal((await send(gateway, '/read/x', 'broken')).status, 502);
    kept.handle = handle;
    t3.equal(left.received.length, 0);
  });

  // Guards against requests of a process that has the configuration but not the zones yet.
  await t2.test('a process that has just started sends nothing there', async (t3) => {
    const second = await startReadyGateway(dependencies);
    for (let index = 0; index < REQUESTS; index++) await send(second, '/read/x', `s${index}`);
    t3.equal(left.received.length, 0);
    await second.drain('test');
  });

  // Guards against a removal that is ignored, which would leave the zone without requests for good.
  await t2.test('the zone gets requests again once the row is removed', async (t3) => {
    operator.delete(`${EVACUATION_PREFIX}z1`);
    kept.handle = rejectRequest;
    while (left.received.length === 0) await send(gateway, '/read/x', 'back');
    t3.equal(left.received[0], 'back');
  });

  await gateway.drain('test');
  left.stop();
  kept.stop();
});
