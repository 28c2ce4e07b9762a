import t from 'tap';
import { startGateway, type Gateway, type GatewayDependencies } from './index.js';
import {
  createDependencies,
  createRegistration,
  createRows,
  FakeEndpoint,
  REQUEST_ID_HEADER,
  SEAL_HEADER,
  send,
  SETTINGS,
  waitUntilReady,
} from './testGateway.js';
import { FakeSharedTable } from './testSharedTable.js';

const HOLD_S = 1.5;
const LONG_HOLD_S = 30;
const CALLERS = 12;
/** Delay of the other endpoint's responses, without which all requests would go to it once it is faster. */
const SLOW_RESPONSE_MS = 30;
const MS_PER_SECOND = 1_000;

const createSuccess =
  (delayMs: number): FakeEndpoint['handle'] =>
  (incoming, response) => {
    const headers = {
      [SEAL_HEADER]: '1',
      [REQUEST_ID_HEADER]: String(incoming.headers[REQUEST_ID_HEADER]),
    };
    setTimeout(() => response.writeHead(200, headers).end('whole'), delayMs);
  };

/** Creates a handler that rejects each request and names a time with it. */
const createRejection =
  (holdS: number): FakeEndpoint['handle'] =>
  (incoming, response) =>
    response
      .writeHead(503, {
        [REQUEST_ID_HEADER]: String(incoming.headers[REQUEST_ID_HEADER]),
        'x-not-run': '1',
        'retry-after': String(holdS),
      })
      .end();

const startEndpoints = async () => {
  const endpoints = [new FakeEndpoint(), new FakeEndpoint()] as [FakeEndpoint, FakeEndpoint];
  const ports = await Promise.all(endpoints.map((endpoint) => endpoint.start()));
  return { endpoints, ports };
};

const startReadyGateway = async (dependencies: GatewayDependencies) => {
  const gateway = await startGateway(SETTINGS, dependencies, '/ready');
  await waitUntilReady(gateway);
  return gateway;
};

/** Drains a gateway while the next test runs, as that takes seconds. */
const stopInBackground = (gateway: Gateway, endpoints: readonly FakeEndpoint[]) => {
  const stop = async () => {
    await gateway.drain('test');
    for (const endpoint of endpoints) endpoint.stop();
  };
  stop().catch((error: unknown) => t.fail(String(error)));
};

/** Sends requests of several callers at once until a condition holds; returns their statuses. */
const sendUntil = async (gateway: Gateway, path: string, isDone: () => boolean) => {
  const statuses: number[] = [];
  const runCaller = async (caller: number) => {
    for (let index = 0; !isDone(); index++)
      statuses.push((await send(gateway, path, `c${caller}-${index}`)).status);
  };
  await Promise.all(Array.from({ length: CALLERS }, (_, caller) => runCaller(caller)));
  return statuses;
};

// Guards against requests and retries to an endpoint that wants none, while callers press.
t.test('a rejecting endpoint gets no requests in the time that it names', async (t2) => {
  const { endpoints, ports } = await startEndpoints();
  const [held, other] = endpoints;
  const gateway = await startReadyGateway(createDependencies(createRows(ports)));
  other.handle = createSuccess(SLOW_RESPONSE_MS);
  held.received.length = 0;
  const arrivalsMs: number[] = [];
  held.handle = (incoming, response) => {
    arrivalsMs.push(performance.now());
    createRejection(HOLD_S)(incoming, response);
  };
  const getFirstMs = () => arrivalsMs[0] ?? Infinity;
  const isOver = () => performance.now() > getFirstMs() + HOLD_S * MS_PER_SECOND;
  const statuses = await sendUntil(gateway, '/read/x', isOver);
  const holdEndMs = getFirstMs() + HOLD_S * MS_PER_SECOND;
  const duringHold = arrivalsMs.filter((ms) => ms > getFirstMs() + 500 && ms < holdEndMs);
  t2.strictSame(duringHold, []);
  t2.ok(arrivalsMs.length <= CALLERS, `${arrivalsMs.length} requests reached it in all`);
  t2.ok(
    statuses.every((status) => status === 200),
    'the other endpoint serves all',
  );
  held.handle = createSuccess(0);
  held.received.length = 0;
  await sendUntil(gateway, '/read/x', () => held.received.length > 0);
  t2.pass('it gets requests again afterwards');
  stopInBackground(gateway, endpoints);
});

// Guards against callers that are held, or told to come back while every endpoint still rejects.
t.test('if all endpoints are held, callers are told when the first is free', async (t2) => {
  const { endpoints, ports } = await startEndpoints();
  const gateway = await startReadyGateway(createDependencies(createRows(ports)));
  for (const endpoint of endpoints) {
    endpoint.received.length = 0;
    endpoint.handle = createRejection(LONG_HOLD_S);
  }
  await sendUntil(gateway, '/read/x', () => endpoints.every(({ received }) => received.length > 0));
  const receivedBefore = endpoints.map(({ received }) => received.length);
  for (const path of ['/read/x', '/claim/x', '/stream/x']) {
    const { status, headers, text } = await send(gateway, path, path);
    const retryAfterS = Number(headers['retry-after']);
    t2.equal(status, 503);
    t2.match(text, 'not_run');
    t2.ok(retryAfterS > LONG_HOLD_S - 10 && retryAfterS < LONG_HOLD_S + 1, `${retryAfterS} s`);
  }
  t2.strictSame(
    endpoints.map(({ received }) => received.length),
    receivedBefore,
  );
  stopInBackground(gateway, endpoints);
});

// Guards against a hold that the success of a request in flight ends.
t.test('a success of an earlier request does not end a hold', async (t2) => {
  const { endpoints, ports } = await startEndpoints();
  const [held] = endpoints;
  const gateway = await startReadyGateway(createDependencies(createRows(ports.slice(0, 1))));
  let respond: () => void = () => undefined;
  const received = new Promise<void>((resolve) => {
    held.handle = (incoming, response) => {
      respond = () => createSuccess(0)(incoming, response);
      resolve();
    };
  });
  const earlier = send(gateway, '/read/x', 'earlier');
  await received;
  held.handle = createRejection(LONG_HOLD_S);
  await send(gateway, '/read/x', 'rejected');
  respond();
  t2.equal((await earlier).status, 200);
  held.received.length = 0;
  t2.equal((await send(gateway, '/read/x', 'later')).status, 503);
  t2.strictSame(held.received, []);
  stopInBackground(gateway, endpoints);
});

// Guards against a hold that keeps another service, or a new process under the same id, from requests.
t.test('a hold concerns one start of one endpoint', async (t2) => {
  const { endpoints, ports } = await startEndpoints();
  const [held, other] = endpoints;
  const [heldPort = 0, otherPort = 0] = ports;
  const registrations = new FakeSharedTable();
  registrations.write('i-0', createRegistration('i-0', heldPort));
  registrations.write('i-1', createRegistration('i-1', otherPort, 'other'));
  const dependencies = createDependencies(
    createRows([]),
    new FakeSharedTable(),
    Math.random,
    registrations,
  );
  const gateway = await startReadyGateway(dependencies);
  const { handle } = held;
  held.handle = createRejection(LONG_HOLD_S);
  await send(gateway, '/read/x', 'rejected');
  held.handle = handle;
  held.received.length = 0;
  t2.equal((await send(gateway, '/read/x', 'held')).status, 503);
  t2.equal((await send(gateway, '/other/x', 'other')).status, 200);
  t2.strictSame(other.received, ['other']);
  t2.strictSame(held.received, []);
  registrations.write('i-0', { ...createRegistration('i-0', heldPort), startedUnixMs: 2 });
  await sendUntil(gateway, '/read/x', () => held.received.length > 0);
  t2.pass('a new start under the same id is used');
  stopInBackground(gateway, endpoints);
});
