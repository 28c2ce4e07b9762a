import assert from 'node:assert/strict';
import fc from 'fast-check';
import t from 'tap';
import { createRandom } from '@lovagearch/common';
import {
  chooseEndpoint,
  type EndpointChoiceInput,
  chooseAffinityOwner,
  Endpoint,
  type EndpointRecord,
  EndpointTable,
  INITIAL_SUSPENSION_MS,
  MAX_SUSPENSION_MS,
  OLD_WEIGHTS_CUTOFF_MARGIN_MS,
  MAX_UNREGISTERED_STARTS,
  PromptCacheEstimator,
  type SentRequest,
} from './index.js';

const createRecord = (id: string, overrides: Partial<EndpointRecord> = {}): EndpointRecord => ({
  id,
  startedUnixMs: 1,
  softwareVersion: 'v1',
  service: 'llm',
  address: '10.0.0.1:80',
  zone: 'z1',
  slots: 4,
  state: 'ready',
  warmupRemainingMs: 0,
  heartbeat: 1,
  weights: new Map(),
  ...overrides,
});

const PLACE = {
  zone: 'z1',
  region: 'r1',
  regionByZone: new Map([
    ['z1', 'r1'],
    ['z2', 'r1'],
    ['z3', 'r2'],
  ]),
};

const SENT: SentRequest = {
  tokens: 0,
  memoryTokens: 0,
  ownMs: 0,
  expectedWaitMs: 0,
  roundTripMs: 0,
  mayLoadParts: false,
  sentAtMs: 0,
};

const createInput = (
  endpoints: readonly Endpoint[],
  overrides: Partial<EndpointChoiceInput['request']> = {},
): EndpointChoiceInput => ({
  request: {
    service: 'llm',
    parts: [],
    cacheSalt: undefined,
    store: undefined,
    memoryTokens: 0,
    engineMemoryTokens: 0,
    model: undefined,
    excluded: new Set(),
    getWeightsRemainingMs: () => Number.POSITIVE_INFINITY,
    ...overrides,
  },
  endpoints,
  promptCache: PromptCacheEstimator.create(),
  nodeLocation: PLACE,
  heartbeatMs: 1_000,
  areRegistrationsCurrent: true,
  nodeCount: 1,
  nowMs: 0,
  random: createRandom(1),
});

// Guards against a standing endpoint that looks idle, as all its requests are answered elsewhere and cancelled.
t.test('an endpoint whose requests are overtaken is forecast as slow', async (test) => {
  const endpoint = Endpoint.create(createRecord('i-1'), 0);
  const { meanProcessingMs } = endpoint;
  endpoint.recordSent(SENT);
  endpoint.recordOvertaken(SENT, 400);
  endpoint.recordCompletion(SENT, { type: 'cancelled' }, 400);
  const waitMs = endpoint.estimateWaitMs(400);
  test.ok(waitMs > 50, `${waitMs} ms`);
  test.ok(endpoint.meanProcessingMs > meanProcessingMs, 'for calls as well');
  endpoint.recordOvertaken(SENT, 800);
  test.ok(endpoint.estimateWaitMs(800) < waitMs, 'a request that has ended shows nothing');
});

// Guards against a standing endpoint that reported its contention before, and looks idle to calls since.
t.test(
  'an endpoint that states its contention is forecast as slow while its calls are overtaken',
  async (test) => {
    const endpoint = Endpoint.create(createRecord('i-1'), 0);
    const call = { ...SENT, tokens: 0, memoryTokens: 0, ownMs: 20 };
    endpoint.recordLoadReport({ running: 0, waiting: 0, slots: 6, workPercent: 100 }, 0);
    const usualMs = endpoint.estimateProcessingMs(400);
    endpoint.recordSent(call);
    endpoint.recordOvertaken(call, 400);
    endpoint.recordCompletion(call, { type: 'cancelled' }, 400);
    const overtakenMs = endpoint.estimateProcessingMs(400);
    test.ok(overtakenMs > usualMs + 30, `${overtakenMs} ms after ${usualMs} ms`);
    test.ok(endpoint.estimateProcessingMs(8_000) < usualMs + 1, 'the delay fades');
  },
);

t.test(
  'an endpoint whose entry lapsed in a store outage is removed only after its grace period',
  async (t2) => {
    const table = EndpointTable.create();
    table.applyRecord(createRecord('i-1'), 0);
    t2.equal(table.applyRemoval('i-1', 2_000, 100)?.type, 'lapsed');
    t2.equal(table.listReady('llm').length, 1);
    t2.strictSame(table.removeLapsed(2_000), []);
    t2.equal(table.removeLapsed(2_100)[0]?.type, 'removed');
    t2.equal(table.listReady('llm').length, 0);
  },
);

t.test('a lapsed endpoint that registers again is kept', async (t2) => {
  const table = EndpointTable.create();
  table.applyRecord(createRecord('i-1'), 0);
  table.applyRemoval('i-1', 2_000, 100);
  table.applyRecord(createRecord('i-1', { heartbeat: 2 }), 500);
  t2.strictSame(table.removeLapsed(5_000), []);
  t2.equal(table.size, 1);
});

t.test('a registration of an earlier start or with an earlier heartbeat is ignored', async (t2) => {
  const table = EndpointTable.create();
  table.applyRecord(createRecord('i-1', { startedUnixMs: 10, heartbeat: 5, state: 'draining' }), 0);
  t2.equal(
    table.applyRecord(createRecord('i-1', { startedUnixMs: 9, heartbeat: 9 }), 1),
    undefined,
  );
  t2.equal(
    table.applyRecord(createRecord('i-1', { startedUnixMs: 10, heartbeat: 4 }), 1),
    undefined,
  );
  t2.equal(table.listReady('llm').length, 0);
  const restart = table.applyRecord(createRecord('i-1', { startedUnixMs: 11, heartbeat: 1 }), 2);
  t2.equal(restart?.type, 'restarted');
  t2.equal(table.listReady('llm').length, 1);
});

// Guards against an odd entry with a count or start that is too high: the proper entries that follow were
// ignored, so that requests still went to the endpoint after it had announced its leaving.
for (const [name, odd] of [
  ['heartbeat', { startedUnixMs: 10, heartbeat: 999_999 }],
  ['start', { startedUnixMs: 4_000_000_000_000, heartbeat: 5 }],
] as const) {
  t.test(`entries that go on counting outweigh one with a higher ${name}`, async (t2) => {
    const table = EndpointTable.create();
    const apply = (heartbeat: number, overrides: Partial<EndpointRecord> = {}) =>
      table.applyRecord(createRecord('i-1', { startedUnixMs: 10, heartbeat, ...overrides }), 0);
    apply(5);
    table.applyRecord(createRecord('i-1', odd), 0);
    // A write that the store carries out late comes once and is older.
    for (const heartbeat of [4, 3, 3]) {
      apply(heartbeat, { state: 'draining' });
      t2.equal(table.findEndpoint('i-1')?.record.state, 'ready');
    }
    for (const heartbeat of [6, 7, 8]) apply(heartbeat, { state: 'draining' });
    t2.equal(table.findEndpoint('i-1')?.record.state, 'draining');
    apply(9, { slots: 9 });
    t2.equal(table.findEndpoint('i-1')?.record.slots, 9);
  });
}

t.test(
  'the failures of one crash suspend an endpoint once, and further crashes up to the maximum',
  async (t2) => {
    const endpoint = Endpoint.create(createRecord('i-1'), 0);
    endpoint.recordTransportFailure(0);
    endpoint.recordTransportFailure(1);
    t2.ok(endpoint.isSuspended(INITIAL_SUSPENSION_MS - 1));
    t2.notOk(endpoint.isSuspended(INITIAL_SUSPENSION_MS));
    let nowMs = INITIAL_SUSPENSION_MS;
    for (let crash = 0; crash < 12; crash++) {
      endpoint.recordTransportFailure(nowMs);
      nowMs += MAX_SUSPENSION_MS;
      t2.notOk(endpoint.isSuspended(nowMs));
    }
  },
);

t.test(
  'an excluded endpoint is never chosen, and a suspended one only as a last resort',
  async (t2) => {
    fc.assert(
      fc.property(
        fc.array(fc.record({ isExcluded: fc.boolean(), isSuspended: fc.boolean() }), {
          maxLength: 6,
        }),
        (states) => {
          const endpoints = states.map((_, index) =>
            Endpoint.create(createRecord(`i-${index}`), 0),
          );
          const excluded = new Set<string>();
          for (const [index, state] of states.entries()) {
            if (state.isExcluded) excluded.add(`i-${index}`);
            if (state.isSuspended) endpoints[index]!.recordTransportFailure(0);
          }
          const placement = chooseEndpoint(createInput(endpoints, { excluded }));
          const usable = states.filter(({ isExcluded }) => !isExcluded);
          if (usable.length === 0) assert.equal(placement, undefined);
          else {
            const index = Number(placement!.endpointId.slice(2));
            assert.ok(!states[index]!.isExcluded);
            const hasUnsuspended = usable.some(({ isSuspended }) => !isSuspended);
            if (hasUnsuspended) assert.ok(!states[index]!.isSuspended);
          }
        },
      ),
    );
    t2.end();
  },
);

t.test(
  'a prompt goes to the affinity owner of its shared parts, unless that one is overloaded',
  async (t2) => {
    const endpoints = ['i-1', 'i-2', 'i-3'].map((id) =>
      Endpoint.create(createRecord(id, { slots: 64 }), 0),
    );
    const parts = [
      { id: 'system', tokens: 500 },
      { id: 'session', tokens: 8_000 },
      { id: 'own', tokens: 2_000 },
    ];
    const owner = chooseAffinityOwner('/session', ['i-1', 'i-2', 'i-3']);
    t2.equal(chooseEndpoint(createInput(endpoints, { parts }))?.endpointId, owner);
    const overloaded = endpoints.find(({ record }) => record.id === owner)!;
    overloaded.recordLoadReport({ running: 64, waiting: 40, slots: 64 }, 0);
    t2.not(chooseEndpoint(createInput(endpoints, { parts }))?.endpointId, owner);
  },
);

t.test('a plain call stays in its zone unless the endpoints there are overloaded', async (t2) => {
  const near = Endpoint.create(createRecord('near'), 0);
  const far = Endpoint.create(createRecord('far', { zone: 'z3' }), 0);
  t2.equal(chooseEndpoint(createInput([near, far]))?.endpointId, 'near');
  near.recordLoadReport({ running: 4, waiting: 30, slots: 4 }, 0);
  t2.equal(chooseEndpoint(createInput([near, far]))?.endpointId, 'far');
});

// Guards against requests that wait at an endpoint until its weights may no longer be used.
t.test(
  'an endpoint with old weights is used only while the request can start in time',
  async (t2) => {
    const [old, current] = [1, 2].map((version) => {
      const id = `i-${version}`;
      const record = { ...createRecord(id), weights: new Map([['m0', version]]) };
      return Endpoint.create(record, 0);
    });
    const chooseWith = (endpoints: readonly Endpoint[], remainingMs: number) =>
      chooseEndpoint(
        createInput(endpoints, {
          model: 'm0',
          parts: [{ id: 'p', tokens: 1_000 }],
          getWeightsRemainingMs: (version) =>
            version < 2 ? remainingMs : Number.POSITIVE_INFINITY,
        }),
      );
    const { expectedMs } = chooseWith([old!], 60_000)!;
    t2.ok(expectedMs > 0);
    const leastMs = OLD_WEIGHTS_CUTOFF_MARGIN_MS + expectedMs;
    t2.equal(chooseWith([old!], leastMs + 1)?.endpointId, 'i-1');
    t2.equal(chooseWith([old!], leastMs - 1), undefined);
    t2.equal(chooseWith([old!], Number.NEGATIVE_INFINITY), undefined);
    // A queue at the endpoint makes it unusable earlier.
    old!.recordSent({ ...SENT, tokens: 400_000 });
    t2.equal(chooseWith([old!], leastMs + 1), undefined);
    t2.equal(chooseWith([old!, current!], leastMs + 1)?.endpointId, 'i-2');
  },
);
// Guards against an endpoint that gets requests again after its registration lapsed or was relayed late.
t.test('what an endpoint said holds for its start, with or without a registration', async (t2) => {
  const table = EndpointTable.create();
  const isLeaving = () => table.findEndpoint('i-1')?.statements.leaving.isAnnounced;
  table.applyRecord(createRecord('i-1', { startedUnixMs: 10 }), 0);
  const first = table.findEndpoint('i-1')!;
  table.applyRemoval('i-1', 0, 1);
  // The response to a request in progress arrives after the removal.
  t2.match(first.statements.leaving.applyStatement({ type: 'leaving' }), { type: 'announced' });
  table.applyRecord(createRecord('i-1', { startedUnixMs: 10, heartbeat: 9 }), 2);
  t2.equal(isLeaving(), true);
  t2.equal(first.statements.leaving.applyStatement({ type: 'leaving' }), undefined, 'logged once');
  // The same process at another address.
  table.applyRecord(createRecord('i-1', { startedUnixMs: 10, heartbeat: 9, address: 'x:1' }), 3);
  t2.equal(isLeaving(), true);
  table.applyRecord(createRecord('i-1', { startedUnixMs: 11 }), 4);
  t2.equal(isLeaving(), false, 'a new start is another process');
  // An older copy of the registration arrives after the newer one was removed.
  table.applyRemoval('i-1', 0, 5);
  table.applyRecord(createRecord('i-1', { startedUnixMs: 10, heartbeat: 9 }), 6);
  t2.equal(isLeaving(), true);
});

// Guards against memory that grows with each endpoint that ever left.
t.test('what endpoints said is forgotten for the oldest of many that are gone', async (t2) => {
  const table = EndpointTable.create();
  const leave = (id: string) => {
    table.applyRecord(createRecord(id), 0);
    table.findEndpoint(id)!.statements.leaving.applyStatement({ type: 'leaving' });
    table.applyRemoval(id, 0, 0);
  };
  for (let index = 0; index <= MAX_UNREGISTERED_STARTS; index++) leave(`i-${index}`);
  for (const { id, expected } of [
    { id: 'i-0', expected: false },
    { id: 'i-1', expected: true },
  ]) {
    table.applyRecord(createRecord(id), 1);
    t2.equal(table.findEndpoint(id)!.statements.leaving.isAnnounced, expected, id);
  }
});
