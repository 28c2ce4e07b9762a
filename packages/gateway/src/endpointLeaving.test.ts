import t from 'tap';
import { startGateway, type Gateway, type GatewayDependencies } from './index.js';
import {
  createDependencies,
  createRegistration,
  createRows,
  FakeEndpoint,
  LEAVING_HEADER,
  REQUEST_ID_HEADER,
  SEAL_HEADER,
  send,
  SETTINGS,
  waitUntilReady,
} from './testGateway.js';
import { FakeSharedTable } from './testSharedTable.js';

/** Requests that are sent to see that none reaches an endpoint; without a choice each has two. */
const PROBES = 20;
/** Delay of the other endpoint's responses, without which all requests would go to it once it is faster. */
const SLOW_RESPONSE_MS = 30;
const EVENT = 'id: 1\ndata: a\n\n';

const createHeaders = (id: string) => ({ [SEAL_HEADER]: '1', [REQUEST_ID_HEADER]: id });

/** Creates a handler that responds with a status and headers, after a delay. */
const createHandler =
  (
    status: number,
    headers: Readonly<Record<string, string>>,
    delayMs = 0,
  ): FakeEndpoint['handle'] =>
  (incoming, response) => {
    const id = String(incoming.headers[REQUEST_ID_HEADER]);
    const respond = () =>
      response.writeHead(status, { ...createHeaders(id), ...headers }).end('whole');
    if (delayMs === 0) respond();
    else setTimeout(respond, delayMs);
  };

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

const sendMany = async (gateway: Gateway, path: string, prefix: string) => {
  const statuses: number[] = [];
  for (let index = 0; index < PROBES; index++)
    statuses.push((await send(gateway, path, `${prefix}-${index}`)).status);
  return statuses;
};

/** Sends requests until an endpoint has received one; returns the last response. */
const sendUntilReceived = async (gateway: Gateway, path: string, endpoint: FakeEndpoint) => {
  for (let index = 0; ; index++) {
    const response = await send(gateway, path, `until-${index}`);
    if (endpoint.received.length > 0) return response;
  }
};

// Guards against new requests to an endpoint that says that it is leaving while its registration says ready.
for (const { title, path, status, headers } of [
  { title: 'a success', path: '/read/x', status: 200, headers: {} },
  { title: 'a failure', path: '/claim/x', status: 500, headers: {} },
  { title: 'a rejection', path: '/read/x', status: 503, headers: { 'x-not-run': '1' } },
]) {
  t.test(
    `an endpoint that announces its leaving with ${title} gets no more requests`,
    async (t2) => {
      const { endpoints, ports } = await startEndpoints();
      const [leaving, other] = endpoints;
      const gateway = await startReadyGateway(createDependencies(createRows(ports)));
      leaving.received.length = 0;
      other.handle = createHandler(200, {}, SLOW_RESPONSE_MS);
      leaving.handle = createHandler(status, { ...headers, [LEAVING_HEADER]: '1' });
      await sendUntilReceived(gateway, path, leaving);
      t2.equal(leaving.received.length, 1);
      const statuses = await sendMany(gateway, path, 'later');
      t2.equal(leaving.received.length, 1);
      t2.ok(
        statuses.every((later) => later === 200),
        'the other endpoint serves all',
      );
      // Guards against a retry that goes to the leaving endpoint, as no other is left.
      other.handle = createHandler(503, { 'x-not-run': '1' });
      const refusals = await sendMany(gateway, '/read/x', 'retried');
      t2.ok(refusals.every((refusal) => refusal === 503));
      t2.equal(leaving.received.length, 1);
      stopInBackground(gateway, endpoints);
    },
  );
}

// Guards against an announcement that counts only when the stream has ended, seconds later.
t.test('an announcement counts from the head of a stream, which goes on to its end', async (t2) => {
  const { endpoints, ports } = await startEndpoints();
  const [leaving, other] = endpoints;
  other.handle = createHandler(200, {}, SLOW_RESPONSE_MS);
  const gateway = await startReadyGateway(createDependencies(createRows(ports)));
  leaving.received.length = 0;
  let endStream: () => void = () => undefined;
  const headSent = new Promise<void>((resolve) => {
    leaving.handle = (incoming, response) => {
      response.writeHead(200, {
        ...createHeaders(String(incoming.headers[REQUEST_ID_HEADER])),
        [LEAVING_HEADER]: '1',
        'content-type': 'text/event-stream',
      });
      response.write(EVENT, () => resolve());
      endStream = () => response.end('id: 2\ndata: b\n\n');
    };
  });
  const streams: ReturnType<typeof send>[] = [];
  while (leaving.received.length === 0) {
    streams.push(send(gateway, '/stream/x', `stream-${streams.length}`));
    await Promise.race([headSent, ...streams.slice(-1)]);
  }
  await headSent;
  const received = leaving.received.length;
  await sendMany(gateway, '/read/x', 'later');
  t2.equal(leaving.received.length, received);
  endStream();
  const texts = await Promise.all(streams.map(async (stream) => (await stream).text));
  t2.ok(texts.includes(`${EVENT}id: 2\ndata: b\n\n`), 'the stream in progress is whole');
  stopInBackground(gateway, endpoints);
});

// Guards against requests that wait, or are sent after all, when only leaving endpoints are left.
t.test('a request is refused at once if all endpoints are leaving', async (t2) => {
  const { endpoints, ports } = await startEndpoints();
  const gateway = await startReadyGateway(createDependencies(createRows(ports)));
  for (const endpoint of endpoints) {
    endpoint.received.length = 0;
    endpoint.handle = createHandler(200, { [LEAVING_HEADER]: '1' });
  }
  for (const endpoint of endpoints) await sendUntilReceived(gateway, '/read/x', endpoint);
  for (const endpoint of endpoints) endpoint.received.length = 0;
  const { status, headers, text } = await send(gateway, '/claim/x', 'last');
  t2.equal(status, 503);
  t2.match(text, 'not_run');
  t2.ok(Number(headers['retry-after']) > 0);
  t2.strictSame(
    endpoints.flatMap(({ received }) => received),
    [],
  );
  stopInBackground(gateway, endpoints);
});

// Guards against an endpoint that is avoided because of a response that is not its own.
for (const { title, headers } of [
  { title: 'another endpoint at its address', headers: { 'x-misdirected': '1' } },
  { title: 'the response to another request', headers: { [REQUEST_ID_HEADER]: 'other' } },
]) {
  t.test(`the announcement of ${title} does not count`, async (t2) => {
    const { endpoints, ports } = await startEndpoints();
    const [endpoint] = endpoints;
    const gateway = await startReadyGateway(createDependencies(createRows(ports.slice(0, 1))));
    const { handle } = endpoint;
    endpoint.handle = createHandler(421, { ...headers, [LEAVING_HEADER]: '1' });
    await send(gateway, '/claim/x', 'foreign');
    endpoint.handle = handle;
    t2.equal((await send(gateway, '/claim/x', 'own')).status, 200);
    stopInBackground(gateway, endpoints);
  });
}

// Guards against an announcement that is forgotten with the registration, or outlives the process that made it.
t.test(
  'an announcement holds for one start of the endpoint, whatever is registered',
  async (t2) => {
    const { endpoints, ports } = await startEndpoints();
    const [leaving, other] = endpoints;
    const [leavingPort = 0, otherPort = 0] = ports;
    const registrations = new FakeSharedTable();
    const register = (startedUnixMs: number, heartbeat: number) =>
      registrations.write('i-0', {
        ...createRegistration('i-0', leavingPort),
        startedUnixMs,
        heartbeat,
      });
    register(1, 1);
    const dependencies = createDependencies(
      createRows([]),
      new FakeSharedTable(),
      Math.random,
      registrations,
    );
    const gateway = await startReadyGateway(dependencies);
    const { handle } = leaving;
    leaving.handle = createHandler(200, { [LEAVING_HEADER]: '1' });
    await send(gateway, '/read/x', 'announces');
    leaving.received.length = 0;
    leaving.handle = handle;
    // The same start is reported as ready again, lapses and is registered again.
    register(1, 7);
    registrations.write('i-1', createRegistration('i-1', otherPort));
    await sendUntilReceived(gateway, '/read/x', other);
    registrations.delete('i-0');
    registrations.delete('i-1');
    while ((await send(gateway, '/read/x', 'none')).status === 200);
    other.received.length = 0;
    register(1, 8);
    registrations.write('i-1', createRegistration('i-1', otherPort));
    await sendUntilReceived(gateway, '/read/x', other);
    await sendMany(gateway, '/read/x', 'later');
    t2.strictSame(leaving.received, []);
    // An endpoint without responses is expected to be slower than the other one is by now.
    other.handle = createHandler(200, {}, SLOW_RESPONSE_MS);
    register(2, 1);
    await sendUntilReceived(gateway, '/read/x', leaving);
    t2.pass('a new start under the same id is used');
    stopInBackground(gateway, endpoints);
  },
);
