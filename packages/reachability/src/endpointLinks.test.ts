import t from 'tap';
import { EndpointLinks } from './endpointLinks.js';
import { type LinkMode, simulateDay, type SimulatedDay, type StateChange } from './testNetwork.js';
import type { ConnectFailureCause, ObservedEndpoint } from './types.js';

const CUT_AT_MS = 3_000;
const HEALED_AT_MS = 9_000;
const END_MS = 13_000;
/** Time from the cut within which links to whole services have to be lost; the nodes' bound for contact is 3,000 ms. */
const FOUND_WITHIN_MS = 1_200;
/** Time from the first request to an endpoint within which the link to it alone has to be lost. */
const ONE_FOUND_WITHIN_MS = 1_800;
/** Time within which a healed link has to be in use. */
const REGAINED_WITHIN_MS = 700;
/** Connections without a request that a node may open in a second: a few while a cut lasts, three for each endpoint. */
const MAX_STEADY_PROBES_PER_S = 8;
const MAX_PROBES_PER_S = 36;
/** Time after which a node has found out which links a cut affects. */
const SETTLED_AT_MS = CUT_AT_MS + 2_500;
const SEEDS = [1, 2, 3, 4, 5];
const OPEN: LinkMode = { type: 'open' };

const createEndpoints = (): ObservedEndpoint[] =>
  ['llm', 'app'].flatMap((service) =>
    ['z1', 'z2', 'z3'].flatMap((zone) =>
      [0, 1].map((index) => ({
        key: `${service}-${zone}-${index}/1`,
        service,
        zone,
        heardElsewhereAtMs: Number.NEGATIVE_INFINITY,
      })),
    ),
  );

const createDay = (overrides: Partial<SimulatedDay>): SimulatedDay => ({
  endpoints: createEndpoints(),
  getMode: () => OPEN,
  isHeardElsewhere: () => true,
  endMs: END_MS,
  seed: 1,
  ...overrides,
});

const isCutTime = (nowMs: number): boolean => nowMs >= CUT_AT_MS && nowMs < HEALED_AT_MS;

const cutDuring =
  (cause: ConnectFailureCause, isCut: (endpoint: ObservedEndpoint) => boolean) =>
  (endpoint: ObservedEndpoint, nowMs: number): LinkMode =>
    isCutTime(nowMs) && isCut(endpoint) ? { type: 'cut', cause } : OPEN;

const findFirst = (changes: readonly StateChange[], key: string): StateChange | undefined =>
  changes.find((change) => change.key === key);

const countBusiest = (times: readonly number[]): number =>
  Math.max(0, ...times.map((from) => times.filter((at) => at >= from && at < from + 1_000).length));

const CUTS: readonly [string, (endpoint: ObservedEndpoint) => boolean][] = [
  ['one endpoint', ({ key }) => key === 'llm-z1-0/1'],
  ['a service', ({ service }) => service === 'llm'],
  ['a zone', ({ zone }) => zone === 'z2'],
  ['all endpoints', () => true],
];

for (const [name, isCut] of CUTS)
  for (const cause of ['timeout', 'refused', 'reset'] as const)
    // Guards against a node that waits for endpoints behind a cut, or gives up those on this side of it.
    t.test(`links to ${name} that fail with ${cause} are lost soon, and no others`, async (t2) => {
      for (const seed of SEEDS) {
        const endpoints = createEndpoints();
        const day = createDay({ endpoints, seed, getMode: cutDuring(cause, isCut) });
        const { changes, probes, requests, getState } = simulateDay(day);
        const isWholeService = endpoints.some(({ service }) =>
          endpoints.every((other) => other.service !== service || isCut(other)),
        );
        for (const endpoint of endpoints) {
          const { key } = endpoint;
          const own = changes.filter((change) => change.key === key);
          if (!isCut(endpoint)) {
            t2.strictSame(own, [], `seed ${seed}: ${key} stays in reach`);
            continue;
          }
          const first = findFirst(changes, key);
          const requestedAtMs = requests.get(key)?.find((atMs) => atMs >= CUT_AT_MS) ?? CUT_AT_MS;
          const sinceMs = isWholeService ? CUT_AT_MS : requestedAtMs;
          const limitMs = isWholeService ? FOUND_WITHIN_MS : ONE_FOUND_WITHIN_MS;
          const afterMs = (first?.atMs ?? Number.POSITIVE_INFINITY) - sinceMs;
          t2.ok(afterMs <= limitMs, `seed ${seed}: ${key} is out of reach after ${afterMs} ms`);
          t2.ok(
            own.some(({ type }) => type === 'lost'),
            `seed ${seed}: the link to ${key} is lost`,
          );
          const regained = own.findLast(({ type }) => type === 'reachable')?.atMs ?? END_MS;
          t2.ok(
            regained >= HEALED_AT_MS && regained <= HEALED_AT_MS + REGAINED_WITHIN_MS,
            `seed ${seed}: ${key} is back at ${regained} ms`,
          );
          t2.equal(getState(key), 'reachable');
        }
        const steady = probes.filter((atMs) => atMs >= SETTLED_AT_MS && atMs < HEALED_AT_MS);
        t2.ok(
          countBusiest(steady) <= MAX_STEADY_PROBES_PER_S,
          `seed ${seed}: ${countBusiest(steady)} probes while the cut lasts`,
        );
        t2.ok(
          countBusiest(probes) <= MAX_PROBES_PER_S,
          `seed ${seed}: ${countBusiest(probes)} probes`,
        );
      }
    });

// Guards against a node in a zone that is cut as a whole, of whose peers none hears an endpoint for it.
t.test('links to all endpoints that hang are found out without peers', async (t2) => {
  for (const seed of SEEDS) {
    const getMode = cutDuring('timeout', () => true);
    const { changes } = simulateDay(createDay({ seed, getMode, isHeardElsewhere: () => false }));
    for (const { key } of createEndpoints()) {
      const first = findFirst(changes, key);
      t2.equal(first?.type, 'unanswered', `seed ${seed}: ${key}`);
      t2.ok((first?.atMs ?? END_MS) <= CUT_AT_MS + FOUND_WITHIN_MS, `seed ${seed}: ${key}`);
    }
  }
});

// Guards against a node that gives up open connections that still carry responses.
t.test('endpoints whose open connections live on while new ones fail are not lost', async (t2) => {
  for (const seed of SEEDS)
    for (const cause of ['refused', 'timeout'] as const) {
      const getMode = (_: ObservedEndpoint, nowMs: number): LinkMode =>
        isCutTime(nowMs) ? { type: 'new_cut', cause } : OPEN;
      const { changes, getState } = simulateDay(createDay({ seed, getMode }));
      const types = new Set(changes.map(({ type }) => type));
      t2.ok(types.has('refusing'), `seed ${seed}, ${cause}`);
      for (const { key } of createEndpoints())
        t2.equal(getState(key), 'reachable', `seed ${seed}: ${key}`);
    }
});

// Guards against claims of lost links on days without any.
t.test('a calm day has no suspicion and no probe', async (t2) => {
  for (const seed of SEEDS) {
    const { changes, probes } = simulateDay(createDay({ seed }));
    t2.strictSame([changes, probes], [[], []], `seed ${seed}`);
  }
});

// Guards against a sound endpoint that is given up as its process stands still for a second.
t.test('a silent second of an endpoint is no lost link', async (t2) => {
  for (const seed of SEEDS) {
    const isSilent = ({ key }: ObservedEndpoint, nowMs: number) =>
      key === 'llm-z1-0/1' && nowMs >= CUT_AT_MS && nowMs < CUT_AT_MS + 1_000;
    const { changes } = simulateDay(
      createDay({
        seed,
        getMode: (endpoint, nowMs) =>
          isSilent(endpoint, nowMs)
            ? { type: 'slow', firstByteMs: CUT_AT_MS + 1_000 - nowMs }
            : OPEN,
        isHeardElsewhere: (endpoint, nowMs) => !isSilent(endpoint, nowMs),
      }),
    );
    t2.strictSame(changes, [], `seed ${seed}`);
  }
});

// Guards against a node that takes busy endpoints for unreachable ones.
t.test('overload of all endpoints is no lost link', async (t2) => {
  for (const seed of SEEDS) {
    const getMode = (_: ObservedEndpoint, nowMs: number): LinkMode =>
      isCutTime(nowMs) ? { type: 'slow', firstByteMs: 2_500 } : OPEN;
    const { changes, probes } = simulateDay(createDay({ seed, getMode }));
    t2.strictSame(changes, [], `seed ${seed}`);
    t2.ok(countBusiest(probes) <= MAX_PROBES_PER_S, `seed ${seed}: ${countBusiest(probes)} probes`);
  }
});

// Guards against a claim of lost links where the endpoints have ended.
t.test('endpoints that crash all at once are not called lost links', async (t2) => {
  for (const seed of SEEDS)
    for (const cause of ['refused', 'timeout'] as const) {
      const { changes } = simulateDay(
        createDay({
          seed,
          getMode: cutDuring(cause, () => true),
          isHeardElsewhere: (_, nowMs) => !isCutTime(nowMs),
        }),
      );
      const types = new Set(changes.map(({ type }) => type));
      t2.notOk(types.has('lost'), `seed ${seed}, ${cause}`);
      t2.ok(types.has('unanswered'), `seed ${seed}, ${cause}`);
    }
});

// Guards against links that come and go and get requests each time.
t.test('links that come and go are used again ever more rarely', async (t2) => {
  for (const seed of SEEDS) {
    const getMode = (_: ObservedEndpoint, nowMs: number): LinkMode =>
      isCutTime(nowMs) && nowMs % 1_000 < 800 ? { type: 'cut', cause: 'refused' } : OPEN;
    const { changes, getState } = simulateDay(createDay({ seed, getMode }));
    for (const { key } of createEndpoints()) {
      const regains = changes.filter((change) => change.key === key && change.type === 'reachable');
      t2.ok(regains.length <= 4, `seed ${seed}: ${key} came back ${regains.length} times`);
      t2.equal(getState(key), 'reachable');
    }
  }
});

// Guards against a link that is given up for the loss of one packet, while a long call waits for its response.
t.test('one attempt that times out beside a long call is no lost link', async (t2) => {
  const [endpoint] = createEndpoints();
  const { key, service } = endpoint!;
  const links = EndpointLinks.create();
  links.recordSent(key, service, 0);
  links.recordConnectFailed(key, service, 'timeout', 600);
  const observed = { ...endpoint!, heardElsewhereAtMs: 850 };
  t2.strictSame(links.review([observed], 900).changes, []);
  links.recordConnectFailed(key, service, 'timeout', 1_000);
  t2.match(links.review([observed], 1_300).changes, [{ to: { type: 'lost' } }]);
});
