import { decideRegionRule, type Account } from '@lovagearch/traffic';
import t from 'tap';
import { startGateway } from './index.js';
import { createCacheSalt, parseSaltRegions, parseSaltVersion } from './reusePlan.js';
import {
  CONFIGURATION,
  CONFIGURATION_KEY,
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
import { UnusedRegionRules } from './unusedRegionRules.js';

const REQUESTS = 20;

/** Creates a configuration in which all routes but `/read/` have home regions. */
const createConfiguration = (version: number, allowedRegions: readonly string[]) => ({
  version,
  routes: CONFIGURATION.routes.map((route) =>
    route.name === 'read' ? route : { ...route, allowedRegions },
  ),
});

t.test('home regions of a route', async (t2) => {
  const near = new FakeEndpoint();
  const far = new FakeEndpoint();
  const ports = await Promise.all([near.start(), far.start()]);
  const registrations = new FakeSharedTable();
  for (const [index, port] of ports.entries())
    registrations.write(`i-${index}`, {
      ...createRegistration(`i-${index}`, port),
      zone: `z${index + 1}`,
    });
  const operator = new FakeSharedTable();
  operator.write(CONFIGURATION_KEY, createConfiguration(1, ['r2']));
  const dependencies = createDependencies(
    createRows([]),
    new FakeSharedTable(),
    Math.random,
    registrations,
    operator,
  );
  const regionByZone = new Map([
    ['z1', 'r1'],
    ['z2', 'r2'],
  ]);
  const gateway = await startGateway({ ...SETTINGS, regionByZone }, dependencies, '/ready');
  await waitUntilReady(gateway);
  const clear = () => {
    near.received.length = 0;
    far.received.length = 0;
  };
  const sendMany = async (path: string) => {
    clear();
    const statuses = new Set<number>();
    for (let index = 0; index < REQUESTS; index++)
      statuses.add((await send(gateway, path, `${path}${index}`)).status);
    return [...statuses];
  };

  // Guards against requests to plain services that leave their home regions because an endpoint there is nearer.
  await t2.test('requests stay in them although an endpoint elsewhere is nearer', async (t3) => {
    for (const path of ['/quick/x', '/claim/x', '/stream/x'])
      t3.strictSame(await sendMany(path), [200], path);
    t3.equal(near.received.length, 0);
    t3.equal(far.received.length, REQUESTS);
    t3.strictSame(await sendMany('/read/x'), [200]);
    t3.ok(near.received.length > 0, 'other requests are not restricted');
  });

  // Guards against a retry that leaves the home regions when no endpoint there is left.
  await t2.test('a retry stays in them', async (t3) => {
    clear();
    const { handle } = far;
    far.handle = (_incoming, response) => response.destroy();
    t3.equal((await send(gateway, '/quick/x', 'broken')).status, 502);
    far.handle = handle;
    t3.strictSame([near.received, far.received], [[], ['broken']]);
  });

  // Guards against a stream that is resumed by the rules under which it began.
  await t2.test('a retry follows a change of the regions', async (t3) => {
    // The suspension of the endpoint ends with a response.
    while ((await send(gateway, '/quick/x', 'again')).status !== 200);
    clear();
    const { handle } = far;
    far.handle = (incoming, response) => {
      const id = String(incoming.headers[REQUEST_ID_HEADER]);
      response.writeHead(200, {
        [SEAL_HEADER]: '1',
        [REQUEST_ID_HEADER]: id,
        'content-type': 'text/event-stream',
      });
      response.write('id: 1\ndata: a\n\n');
      operator.write(CONFIGURATION_KEY, createConfiguration(2, ['r1']));
      const waitForChange = async () => {
        while ((await send(gateway, '/quick/x', 'probe')).status !== 200);
        if (near.received.includes('probe')) response.destroy();
        else setImmediate(waitForChange);
      };
      far.handle = handle;
      setImmediate(waitForChange);
    };
    await send(gateway, '/stream/x', 'moved');
    t3.ok(near.received.includes('moved'), 'it goes on in the region that is allowed now');
  });

  // Guards against a request that waits for its time limit although no endpoint may ever take it.
  await t2.test('a request without an allowed region is refused at once', async (t3) => {
    const routes = CONFIGURATION.routes.map((route) => ({ ...route, allowedRegions: ['r1'] }));
    const accounts = [{ name: 'a', keys: ['k'], isIsolated: false, allowedRegions: ['r2'] }];
    operator.write(CONFIGURATION_KEY, { version: 3, routes, accounts });
    clear();
    for (;;) {
      const { status, text } = await send(gateway, '/quick/x', 'none', undefined, undefined, {
        'x-key': 'k',
      });
      if (status === 200) continue;
      t3.equal(status, 503);
      t3.match(JSON.parse(text), { error: { type: 'no_allowed_region', run: 'not_run' } });
      break;
    }
    t3.equal(far.received.length, 0);
  });

  await gateway.drain('test');
  near.stop();
  far.stop();
});

// Guards against parts of a request with home regions that a request without them, or of another account, reads.
t.test('requests share a salt only with the same account and regions', async (t2) => {
  const plain: Account = { name: 'a', keys: [], isIsolated: false };
  const accounts = [
    undefined,
    { ...plain, isIsolated: true },
    { ...plain, name: '[eu]', isIsolated: true },
  ];
  const rules = [[], ['eu'], ['us', 'eu'], ['e/u']].map((allowedRegions) =>
    decideRegionRule({ allowedRegions }, undefined),
  );
  const salts = new Set<string | undefined>();
  for (const account of accounts) {
    for (const rule of rules) {
      for (const version of [undefined, 1, 12]) {
        const salt = createCacheSalt(account, version, rule);
        salts.add(salt);
        t2.equal(parseSaltVersion(salt ?? ''), version, String(salt));
        const name = rule.type === 'only' ? rule.canonicalName : undefined;
        t2.equal(parseSaltRegions(salt ?? ''), name, String(salt));
      }
    }
  }
  t2.equal(salts.size, accounts.length * rules.length * 3);
  // Guards against an update of the gateway that makes the stored parts of all other requests useless.
  const any = decideRegionRule({}, undefined);
  t2.equal(createCacheSalt(plain, 3, any), 'v3');
  t2.equal(createCacheSalt({ ...plain, isIsolated: true }, 3, any), 'v3/a');
  t2.equal(createCacheSalt({ ...plain, isIsolated: true }, undefined, any), 'v/a');
  t2.equal(createCacheSalt(plain, undefined, any), undefined);
});

// Guards against freed parts that requests by a newer configuration read, and against parts that are kept for good.
t.test('parts are freed once their home regions are unused for some time', async (t2) => {
  const rules = UnusedRegionRules.create();
  const isUnused = (usedNames: readonly string[], nowMs: number) =>
    rules.isUnused('v3[eu+us]', new Set(usedNames), nowMs);
  t2.notOk(isUnused([], 0), 'this node may lag behind');
  t2.notOk(isUnused(['eu+us'], 5_000));
  t2.notOk(isUnused(['eu'], 7_000));
  t2.ok(isUnused(['eu'], 13_000));
  for (const salt of ['v3', 'v3/a', 'v/[eu+us]', 'other'])
    t2.notOk(rules.isUnused(salt, new Set(), 20_000), salt);
});
