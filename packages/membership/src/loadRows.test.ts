import { isDeepStrictEqual } from 'node:util';
import t from 'tap';
import { toId, type NodeId } from '@lovagearch/common';
import fc from 'fast-check';
import { STALE_AGE_MS } from './constants.js';
import { computeEndpointState, RecoveryGate } from './endpointHealth.js';
import { computeGridPeers } from './grid.js';
import { LoadDigest } from './loadDigest.js';
import { decodeSections, encodeSections, ROW_STATES, type LoadRow } from './loadRows.js';
import { LoadTable } from './loadTable.js';
import { chooseSummaryTargets, decodeCapacities, encodeCapacities } from './regionSummary.js';

const createRow = (endpoint: number, changes: Partial<LoadRow> = {}): LoadRow => ({
  endpoint,
  queuedPromptTokens: 640,
  activeSequences: 3,
  cacheUse: 1,
  state: 'ready',
  versionTag: 7,
  ...changes,
});

const byteArbitrary = fc.nat({ max: 255 });
const rowArbitrary = fc.record(
  {
    endpoint: fc.nat({ max: 0xffffffff }),
    queuedPromptTokens: fc.nat({ max: 0xffff }).map((units) => units * 64),
    activeSequences: byteArbitrary,
    cacheUse: byteArbitrary.map((use) => use / 255),
    state: fc.constantFrom(...ROW_STATES),
    versionTag: byteArbitrary,
  },
  { noNullPrototype: true },
);
const sectionArbitrary = fc.record(
  {
    type: fc.constantFrom(...(['delta', 'full', 'urgent', 'mark'] as const)),
    source: fc.nat({ max: 0xffffffff }),
    seq: byteArbitrary,
    ageMs: byteArbitrary.map((units) => units * 50),
    rows: fc.array(rowArbitrary, { maxLength: 20 }),
  },
  { noNullPrototype: true },
);

t.test('sections and capacities round-trip; decoding malformed bytes never throws', async () => {
  fc.assert(
    fc.property(fc.array(sectionArbitrary, { maxLength: 8 }), (sections) =>
      isDeepStrictEqual(decodeSections(encodeSections(sections)), sections),
    ),
  );
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 100 }), (bytes) => {
      decodeSections(bytes);
      const capacities = decodeCapacities(bytes);
      return capacities === undefined || Buffer.compare(encodeCapacities(capacities), bytes) === 0;
    }),
  );
});

t.test('encoding never rounds an age down', async () => {
  fc.assert(
    fc.property(fc.integer({ min: 0, max: 12_000 }), (ageMs) => {
      const section = { type: 'full' as const, source: 1, seq: 1, ageMs, rows: [] };
      return decodeSections(encodeSections([section]))![0]!.ageMs >= ageMs;
    }),
  );
});

t.test('two hops over the grid reach every member in regions of up to 70 nodes', async (t2) => {
  for (let size = 1; size <= 70; size++) {
    const members = Array.from({ length: size }, (_, index) => `m${index}`);
    let largest = 0;
    for (const origin of members) {
      const { row, column } = computeGridPeers(members, origin);
      largest = Math.max(largest, row.length, column.length);
      const reached = new Set([origin, ...row, ...column]);
      for (const hop of row) {
        for (const next of computeGridPeers(members, hop).column) reached.add(next);
      }
      if (reached.size !== size) t2.fail(`${origin} of ${size} members reaches ${reached.size}`);
    }
    if (largest > 2 * Math.ceil(Math.sqrt(size)))
      t2.fail(`a member has ${largest} peers in a region of ${size}`);
  }
});

t.test('the summaries of one region reach every node of another region', async (t2) => {
  const createIds = (count: number, prefix: string): NodeId[] =>
    Array.from({ length: count }, (_, index) => toId<NodeId>(`${prefix}${index}`));
  for (const [own, others] of [
    [6, 3],
    [3, 6],
    [58, 57],
    [1, 5],
  ] as const) {
    const [ids, targets] = [createIds(own, 'a'), createIds(others, 'b')];
    const reached = new Set(ids.flatMap((id) => chooseSummaryTargets(ids, targets, id)));
    t2.equal(reached.size, others);
  }
});

t.test('a delta confirms unchanged rows unless a section was lost before it', async (t2) => {
  const digest = LoadDigest.create(1);
  const table = LoadTable.create();
  table.applySection(digest.createSection([createRow(5)], 0), 0);
  const delta = digest.createSection([createRow(5)], 0);
  t2.same(delta.rows, []);
  table.applySection(delta, 2_000);
  t2.equal(table.getObservations(5, 2_000)[0]!.ageMs, 0);
  digest.createSection([createRow(5, { queuedPromptTokens: 64_000 })], 0);
  table.applySection(
    digest.createSection([createRow(5, { queuedPromptTokens: 64_000 })], 0),
    6_000,
  );
  t2.ok(table.getObservations(5, 6_000)[0]!.ageMs > STALE_AGE_MS);
});

t.test('a delayed row does not replace a more recent one', async (t2) => {
  const table = LoadTable.create();
  const digest = LoadDigest.create(1);
  const [earlier, later] = [
    digest.createSection([createRow(5)], 0),
    digest.createSection([createRow(5, { activeSequences: 90 })], 0),
  ];
  t2.ok(table.applySection(later, 1_000));
  t2.notOk(table.applySection({ ...earlier, ageMs: 900 }, 1_100));
  t2.equal(table.getObservations(5, 1_100)[0]!.activeSequences, 90);
});

t.test('an endpoint is dead after two failed watchers, or one and a failed call', async (t2) => {
  const row = { ...createRow(5), source: 1, ageMs: 100 };
  const unseenRow = { ...row, state: 'unseen' as const };
  const local = { isLeavingInVmList: false };
  t2.equal(computeEndpointState([unseenRow, { ...row, source: 2 }], local), 'ready');
  t2.equal(computeEndpointState([unseenRow, { ...unseenRow, source: 2 }], local), 'dead');
  t2.equal(computeEndpointState([unseenRow, row], { ...local, failureAgeMs: 10 }), 'dead');
  t2.equal(computeEndpointState([row], { ...local, failureAgeMs: 10 }), 'ready');
  t2.equal(computeEndpointState([row], { ...local, leavingNoticeAgeMs: 10 }), 'leaving');
  t2.equal(computeEndpointState([{ ...row, state: 'leaving' }, row], local), 'leaving');
});

t.test('a recovering endpoint gets one request at a time until it answers one', async (t2) => {
  const gate = RecoveryGate.create();
  gate.update('dead');
  gate.update('ready');
  t2.same([gate.tryAcquireTrial(0), gate.tryAcquireTrial(1)], [true, false]);
  gate.recordResult(false);
  t2.same([gate.tryAcquireTrial(2), gate.tryAcquireTrial(3)], [true, false]);
  gate.recordResult(true);
  t2.same([gate.tryAcquireTrial(4), gate.tryAcquireTrial(5)], [true, true]);
});
