import { once } from 'node:events';
import { createServer } from 'node:net';
import t from 'tap';
import { request } from 'undici';
import { type ExplainedCandidate, type PlacementExplanation } from './explainPlacement.js';
import { startGateway } from './index.js';
import {
  createDependencies,
  createRows,
  FakeEndpoint,
  LEAVING_HEADER,
  REQUEST_ID_HEADER,
  SEAL_HEADER,
  send,
  SETTINGS,
  waitUntilReady,
} from './testGateway.js';

const findFreePort = async (): Promise<number> => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  server.close();
  await once(server, 'close');
  return typeof address === 'object' && address !== null ? address.port : 0;
};

const endpoints = [new FakeEndpoint(), new FakeEndpoint(), new FakeEndpoint()];
const rows = createRows(await Promise.all(endpoints.map((endpoint) => endpoint.start())));
const peerAddress = { host: '127.0.0.1', port: await findFreePort() };
const gateway = await startGateway(
  { ...SETTINGS, peerAddress },
  createDependencies(rows),
  '/ready',
);
t.teardown(async () => {
  for (const endpoint of endpoints) endpoint.stop();
  await gateway.drain('test');
});
await waitUntilReady(gateway);

const ask = async (query: string) => {
  const response = await request(`http://127.0.0.1:${peerAddress.port}/peer/where?${query}`);
  const body = (await response.body.json()) as PlacementExplanation;
  return { status: response.statusCode, body };
};

const countReceived = () => endpoints.reduce((sum, { received }) => sum + received.length, 0);

// Guards against an explanation that is not the decision, or that sends requests itself.
t.test(
  'a described request is explained by the decisions of a real one, and not sent',
  async (t2) => {
    // The endpoint that gets the next request takes no more afterwards.
    let hasLeaving = false;
    const handle: FakeEndpoint['handle'] = (incoming, response) => {
      const leaving = hasLeaving ? {} : { [LEAVING_HEADER]: '1' };
      hasLeaving = true;
      const id = String(incoming.headers[REQUEST_ID_HEADER]);
      response.writeHead(200, { [SEAL_HEADER]: '1', [REQUEST_ID_HEADER]: id, ...leaving }).end('x');
    };
    for (const endpoint of endpoints) endpoint.handle = handle;
    for (let index = 0; index < 3; index += 1) await send(gateway, '/read/x', `warm-${index}`);
    const before = countReceived();
    const { status, body } = await ask('host=a.example&path=/read/x');
    t2.equal(status, 200);
    if (body.type !== 'routed') throw new Error(JSON.stringify(body));
    const [target] = body.targets;
    t2.match(body, { node: 'n1', route: 'read', targetMs: 2_000, configuration: 1 });
    t2.equal(target?.candidates.length, 3);
    t2.strictSame(target?.admission, { type: 'admit' });
    const isExcluded = ({ excludedBy }: ExplainedCandidate) => excludedBy !== undefined;
    t2.strictSame(target?.candidates.filter(isExcluded).map((one) => one.excludedBy), ['leaving']); // prettier-ignore
    const chosen = target?.candidates.find(({ isChosen }) => isChosen);
    t2.equal(chosen?.endpoint, target?.chosen);
    const { expectedMs, waitMs, roundTripMs, transferMs, workMs } = chosen?.forecast ?? {};
    t2.ok(expectedMs !== undefined && expectedMs > 0);
    const sumMs = (waitMs ?? 0) + (roundTripMs ?? 0) + (transferMs ?? 0) + (workMs ?? 0);
    t2.ok(Math.abs(sumMs - (expectedMs ?? 0)) < 1e-6, 'the components add up');
    t2.equal(countReceived(), before);
  },
);

t.test('a description that no request could have is answered with its fault', async (t2) => {
  t2.equal((await ask('host=a.example')).status, 400);
  t2.equal((await ask('host=a.example&path=/read/x&parts=p')).status, 400);
  t2.match((await ask('host=a.example&path=/nowhere/x')).body, { type: 'refused' });
  t2.match((await ask('host=a.example&path=/read/x&account=none')).body, { type: 'refused' });
});
