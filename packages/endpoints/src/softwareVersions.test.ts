import t from 'tap';
import { type ContinuationInput, decideContinuation, EndpointTable } from './index.js';

const WINDOW_MS = 30_000;
const NOW_MS = 100_000;
const ALWAYS = { fromMs: Number.NEGATIVE_INFINITY, untilMs: NOW_MS };
const V1 = { version: 'v1', ...ALWAYS };
const V2 = { version: 'v2', ...ALWAYS };
const RESUMPTION: ContinuationInput = {
  lastEventId: 7,
  knownVersion: undefined,
  uses: [V1, V2],
  complete: ALWAYS,
  begin: { fromMs: NOW_MS - WINDOW_MS, untilMs: NOW_MS },
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
  t2.strictSame(decideContinuation({ ...RESUMPTION, uses: [V2] }), {
    type: 'version',
    version: 'v2',
  });
  t2.strictSame(decideContinuation(RESUMPTION), {
    type: 'unknown',
    reason: 'several',
    versions: ['v1', 'v2'],
  });
  t2.equal(decideContinuation({ ...RESUMPTION, uses: [] }).type, 'unknown');
});

// Guards against a process that takes what it has seen since its start, or up to a cut, for all that was in use.
t.test(
  'a version counts as the only one within the time that is known without a gap',
  async (t2) => {
    const resumption = { ...RESUMPTION, uses: [V1] };
    const { begin } = RESUMPTION;
    t2.equal(decideContinuation({ ...resumption, complete: begin }).type, 'version');
    for (const complete of [
      { ...begin, fromMs: begin.fromMs + 1 },
      { ...begin, untilMs: begin.untilMs - 1 },
    ])
      t2.strictSame(decideContinuation({ ...resumption, complete }), {
        type: 'unknown',
        reason: 'incomplete',
        versions: ['v1'],
      });
  },
);

// Guards against streams from before an outage that are refused as another version came into use since.
t.test('a version that came into use later did not begin the stream', async (t2) => {
  const begin = { fromMs: NOW_MS - WINDOW_MS, untilMs: NOW_MS - 2_000 };
  const later = { ...V2, fromMs: NOW_MS - 1_000 };
  t2.strictSame(decideContinuation({ ...RESUMPTION, uses: [V1, later], begin }), {
    type: 'version',
    version: 'v1',
  });
  const overlapping = { ...V2, fromMs: begin.untilMs };
  t2.equal(decideContinuation({ ...RESUMPTION, uses: [V1, overlapping], begin }).type, 'unknown');
  const empty = { fromMs: NOW_MS, untilMs: NOW_MS - 1 };
  t2.equal(decideContinuation({ ...RESUMPTION, uses: [V1], begin: empty }).type, 'unknown');
});

// Guards against a version that is forgotten as soon as its last endpoint has left.
t.test('the version of an endpoint that has left stays in use for a while', async (t2) => {
  const table = EndpointTable.create();
  const listVersions = (nowMs: number) =>
    table.listSoftware('app', nowMs, WINDOW_MS).map(({ version }) => version);
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
