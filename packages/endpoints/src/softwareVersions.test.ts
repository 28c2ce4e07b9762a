import t from 'tap';
import { type ContinuationInput, decideContinuation, EndpointTable } from './index.js';

const WINDOW_MS = 30_000;
const RESUMPTION: ContinuationInput = {
  lastEventId: 7,
  knownVersion: undefined,
  possibleVersions: ['v1', 'v2'],
  areVersionsKnown: true,
};

const createRecord = (id: string, softwareVersion: string) => ({
  id,
  startedUnixMs: 1,
  softwareVersion,
  service: 'app',
  address: 'x:1',
  zone: 'z1',
  slots: 4,
  state: 'ready' as const,
  warmupRemainingMs: 0,
  heartbeat: 1,
  weights: new Map<string, number>(),
});

// Guards against new streams that are kept from the endpoints of a version.
t.test('a new stream may begin at any version', async (t2) => {
  t2.strictSame(decideContinuation({ ...RESUMPTION, lastEventId: 0 }), { type: 'any' });
});

// Guards against streams that are joined from two versions.
t.test('a stream goes on at the version that began it, or nowhere', async (t2) => {
  t2.strictSame(decideContinuation({ ...RESUMPTION, knownVersion: 'v1' }), {
    type: 'version',
    version: 'v1',
  });
  t2.strictSame(decideContinuation({ ...RESUMPTION, possibleVersions: ['v2'] }), {
    type: 'version',
    version: 'v2',
  });
  for (const input of [
    RESUMPTION,
    { ...RESUMPTION, possibleVersions: ['v2'], areVersionsKnown: false },
    { ...RESUMPTION, possibleVersions: [] },
  ])
    t2.equal(decideContinuation(input).type, 'unknown');
});

// Guards against a version that is forgotten as soon as its last endpoint has left.
t.test('the version of an endpoint that has left stays in use for a while', async (t2) => {
  const table = EndpointTable.create();
  const listVersions = (nowMs: number) =>
    table.listSoftware('app', nowMs, WINDOW_MS).map(([version]) => version);
  table.applyRecord(createRecord('i-1', 'v1'), 0);
  table.applyRecord(createRecord('i-2', 'v2'), 0);
  t2.strictSame(listVersions(WINDOW_MS * 2), ['v1', 'v2']);
  table.applyRemoval('i-1', 0, WINDOW_MS * 2);
  t2.strictSame(listVersions(WINDOW_MS * 3).sort(), ['v1', 'v2']);
  t2.strictSame(listVersions(WINDOW_MS * 3 + 1), ['v2']);
});

// Guards against a version that is forgotten because an endpoint starts again with another one under its id.
t.test('the version before a restart stays in use for a while', async (t2) => {
  const table = EndpointTable.create();
  table.applyRecord(createRecord('i-1', 'v1'), 0);
  table.applyRecord({ ...createRecord('i-1', 'v2'), startedUnixMs: 2 }, 1);
  t2.equal(table.listSoftware('app', 2, WINDOW_MS).length, 2);
});
