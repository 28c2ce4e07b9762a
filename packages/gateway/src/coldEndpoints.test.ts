import t from 'tap';
import { startGateway } from './index.js';
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

const REQUESTS = 40;
const CALLERS = 8;
/** Delay of responses of the warm endpoint, without which few requests would go to the cold one. */
const SLOW_RESPONSE_MS = 60;
const COLD_PER_S = 2;

// Guards against a cold endpoint that gets the load of a warm one, and callers that are refused while one is free.
t.test('a cold endpoint gets what it bears and the others the rest', async (t2) => {
  const cold = new FakeEndpoint();
  const warm = new FakeEndpoint();
  const { handle } = warm;
  warm.handle = (incoming, response) =>
    setTimeout(() => handle(incoming, response), SLOW_RESPONSE_MS);
  const registrations = new FakeSharedTable();
  const operator = new FakeSharedTable();
  const coldRegistration = createRegistration('cold', await cold.start());
  const register = (heartbeat: number, warmupRemainingMs: number) =>
    registrations.write('cold', { ...coldRegistration, heartbeat, warmupRemainingMs });
  registrations.write('warm', createRegistration('warm', await warm.start()));
  register(1, 600_000);
  const services = CONFIGURATION.services.map((service) => ({
    ...service,
    coldStart: { durationMs: 600_000, requestsPerS: COLD_PER_S },
  }));
  operator.write(CONFIGURATION_KEY, { services });
  const dependencies = createDependencies(
    createRows([]),
    new FakeSharedTable(),
    Math.random,
    registrations,
    operator,
  );
  // At a first start, a node assumes many others for some time.
  const settings = { ...SETTINGS, isFirstStart: false };
  const gateway = await startGateway(settings, dependencies, '/ready');
  await waitUntilReady(gateway);
  const sendMany = async (path: string) => {
    const startMs = performance.now();
    cold.received.length = 0;
    let left = REQUESTS;
    const sendInTurn = async () => {
      while (left > 0) {
        left -= 1;
        t2.equal((await send(gateway, path, `r${left}`)).status, 200, 'not refused');
      }
    };
    await Promise.all(Array.from({ length: CALLERS }, sendInTurn));
    return (performance.now() - startMs) / 1_000;
  };
  const elapsedS = await sendMany('/claim/x');
  const allowed = COLD_PER_S * 1.5 * Math.max(1, elapsedS) + 5;
  t2.ok(cold.received.length <= allowed, `${cold.received.length} of ${allowed}`);

  // Guards against an endpoint that keeps the load of a cold one for good.
  await t2.test('it gets its usual load once it is warm', async (t3) => {
    register(2, 0);
    do await sendMany('/read/x');
    while (cold.received.length <= REQUESTS / 2);
    t3.ok(cold.received.length > REQUESTS / 2);
  });

  // Guards against load that goes back to a crashed endpoint at the usual rate.
  await t2.test('it is cold again after it lost its connections', async (t3) => {
    const { handle: coldHandle } = cold;
    const crash = () => {
      cold.closeConnections();
      cold.handle = coldHandle;
    };
    cold.handle = crash;
    while (cold.handle === crash) await send(gateway, '/read/x', 'crash');
    await new Promise((resolve) => {
      setTimeout(resolve, 200);
    });
    const s = await sendMany('/claim/x');
    const most = COLD_PER_S * 1.5 * Math.max(1, s) + 5;
    t3.ok(cold.received.length <= most, `${cold.received.length} of ${most}`);
  });

  await gateway.drain('test');
  cold.stop();
  warm.stop();
});
