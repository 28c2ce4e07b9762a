import fc from 'fast-check';
import t from 'tap';
import { ManualClock } from '@lovagearch/common';
import {
  type MirrorEvent,
  MirrorFollower,
  type MirroredRow,
  type ReadResult,
  TableMirror,
} from './index.js';

const OPTIONS = {
  getLongPollMs: () => 1,
  answerTimeoutMs: 1,
  getPollIntervalMs: () => 0,
  retryDelayMs: 1,
  peerFallback: { type: 'after_failure' as const, minAgeMs: 0 },
  isStoreReadDue: () => true,
};

const createRows = (
  rows: readonly MirroredRow[],
  version: number,
  isPartial = true,
): ReadResult => ({
  type: 'rows',
  batch: { rows, version, isPartial, ageMs: 0 },
});
const UNAVAILABLE: ReadResult = {
  type: 'failure',
  failure: { type: 'unavailable', reason: 'down' },
};
const HISTORY_LOST: ReadResult = { type: 'failure', failure: { type: 'history_lost' } };

t.test('an outdated copy of a peer never overwrites a newer row', async (t2) => {
  const mirror = TableMirror.create('op');
  const seen: (string | undefined)[] = [];
  mirror.addListener(({ value }) => seen.push(value));
  const old = { key: 'config', version: 3, value: 'old' };
  const current = { key: 'config', version: 7, value: 'new' };
  mirror.applyBatch({ rows: [current], version: 7, isPartial: true, ageMs: 0 }, 0);
  t2.equal(mirror.applyBatch({ rows: [old], version: 5, isPartial: false, ageMs: 0 }, 1), false);
  mirror.applyBatch({ rows: [old], version: 9, isPartial: true, ageMs: 0 }, 2);
  t2.equal(mirror.getRow('config')?.value, 'new');
  t2.strictSame(seen, ['new']);
});

t.test('a copy that applies all changes ends with the same rows as the store', async (t2) => {
  const change = fc.record({
    key: fc.constantFrom('a', 'b', 'c'),
    isRemoved: fc.boolean(),
    isFullBatch: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(change, { maxLength: 40 }), (changes) => {
      const store = new Map<string, MirroredRow>();
      const mirror = TableMirror.create('servers');
      const follower = TableMirror.create('servers');
      let version = 0;
      for (const { key, isRemoved, isFullBatch } of changes) {
        version += 1;
        const row = { key, version, value: isRemoved ? undefined : `v${version}` };
        if (isRemoved) store.delete(key);
        else store.set(key, row);
        const rows = isFullBatch ? [...store.values()] : [row];
        mirror.applyBatch({ rows, version, isPartial: !isFullBatch, ageMs: 0 }, version);
        const batch = mirror.createBatch(follower.version, version);
        if (version % 3 === 0) follower.applyBatch(batch, version);
      }
      follower.applyBatch(mirror.createBatch(follower.version, version), version);
      const expected = [...store.values()].map(({ key, value }) => `${key}=${value}`).sort();
      for (const copy of [mirror, follower]) {
        const actual = [...copy.listRows()].map(({ key, value }) => `${key}=${value}`).sort();
        t2.strictSame(actual, expected);
      }
    }),
  );
});

t.test(
  'rows that were removed while the history was lost are removed from the copy',
  async (t2) => {
    const clock = ManualClock.create();
    const mirror = TableMirror.create('servers');
    const events: MirrorEvent[] = [];
    const results = [
      createRows([{ key: 'i-1', version: 1, value: 'x' }], 1, false),
      HISTORY_LOST,
      createRows([{ key: 'i-2', version: 8, value: 'y' }], 9, false),
    ];
    const follower = MirrorFollower.create({
      mirror,
      clock,
      options: OPTIONS,
      source: {
        readAll: async () => results.shift() ?? UNAVAILABLE,
        readChanges: async () => results.shift() ?? UNAVAILABLE,
      },
      peers: { readChanges: async () => UNAVAILABLE },
      onEvent: (event) => {
        events.push(event);
        if (event.type === 'store_lost') follower.stop();
      },
    });
    await follower.run();
    t2.strictSame(
      [...mirror.listRows()].map(({ key }) => key),
      ['i-2'],
    );
    t2.equal(events[0]?.type, 'history_lost');
  },
);

t.test('a peer supplies changes while the store is unavailable', async (t2) => {
  const clock = ManualClock.create();
  const mirror = TableMirror.create('op');
  const events: MirrorEvent[] = [];
  const results = [createRows([{ key: 'config', version: 1, value: 'old' }], 1, false)];
  const follower = MirrorFollower.create({
    mirror,
    clock,
    options: OPTIONS,
    source: {
      readAll: async () => results.shift() ?? UNAVAILABLE,
      readChanges: async () => UNAVAILABLE,
    },
    peers: {
      readChanges: async (_table, afterVersion) =>
        createRows([{ key: 'config', version: 2, value: `after ${afterVersion}` }], 2),
    },
    onEvent: (event) => {
      events.push(event);
      if (event.type === 'peer_used') follower.stop();
    },
  });
  await follower.run();
  t2.equal(mirror.getRow('config')?.value, 'after 1');
  t2.strictSame(
    events.map(({ type }) => type),
    ['store_lost', 'peer_used'],
  );
});

// Guards against every node of a large deployment calling the store, which bills calls and limits their rate.
t.test('the store is called only while no relay keeps the copy fresh', async (t2) => {
  const clock = ManualClock.create();
  const mirror = TableMirror.create('op');
  let calls = 0;
  let polls = 0;
  const countCall = async () => {
    calls += 1;
    return createRows([], 1, false);
  };
  const follower = MirrorFollower.create({
    mirror,
    clock,
    options: {
      ...OPTIONS,
      isStoreReadDue: (copyAgeMs) => copyAgeMs >= 3_000,
      getPollIntervalMs: () => {
        polls += 1;
        clock.addMs(1_000);
        // The relay keeps the copy fresh for the first five polls, then stops.
        if (polls <= 5)
          mirror.applyBatch({ rows: [], version: 1, isPartial: true, ageMs: 0 }, clock.nowMs());
        if (polls === 9) follower.stop();
        return 0;
      },
    },
    source: { readAll: countCall, readChanges: countCall },
    peers: { readChanges: async () => UNAVAILABLE },
    onEvent: () => undefined,
  });
  await follower.run();
  t2.equal(calls, 2, 'one call at the start, and one when the copy is 3 s old');
});

/** Advances the clock and stops a follower that doesn't end by itself. */
const stopAfter = (clock: ManualClock, follower: MirrorFollower) => {
  clock.addMs(1);
  if (clock.nowMs() > 100) follower.stop();
};

// Guards against a node that stops following a table because of one row that it can't handle.
t.test('a listener that throws drops neither the other rows nor the following', async (t2) => {
  const faults: string[] = [];
  const mirror = TableMirror.create('servers', {
    onRowFault: ({ key, version }, error) =>
      faults.push(`${key} ${version} ${error instanceof Error ? error.message : ''}`),
  });
  const seen: string[] = [];
  mirror.addListener(({ key }) => {
    if (key === 'odd') throw new RangeError('too deep');
  });
  mirror.addListener(({ key }) => seen.push(key));
  const results: ReadResult[] = [
    createRows(
      ['a', 'odd', 'b'].map((key, index) => ({ key, version: index + 1, value: key })),
      3,
      false,
    ),
    createRows([{ key: 'c', version: 4, value: 'c' }], 4),
  ];
  const clock = ManualClock.create();
  const follower = MirrorFollower.create({
    mirror,
    source: {
      readAll: async () => results.shift() ?? UNAVAILABLE,
      readChanges: async () => {
        const result = results.shift();
        if (result === undefined) follower.stop();
        return result ?? UNAVAILABLE;
      },
    },
    peers: { readChanges: async () => UNAVAILABLE },
    clock,
    options: OPTIONS,
    onEvent: () => undefined,
    wait: async () => stopAfter(clock, follower),
  });
  await follower.run();
  t2.strictSame(seen, ['a', 'odd', 'b', 'c']);
  t2.strictSame(faults, ['odd 2 too deep']);
  t2.equal(mirror.version, 4);
});

// Guards against a node that never reads a table again after one read that failed in an unforeseen way.
t.test('a read that throws counts as a store that is not reachable', async (t2) => {
  const mirror = TableMirror.create('servers');
  const events: MirrorEvent[] = [];
  const clock = ManualClock.create();
  let reads = 0;
  const follower = MirrorFollower.create({
    mirror,
    source: {
      readAll: async () => {
        reads += 1;
        if (reads === 1) throw new RangeError('too deep');
        follower.stop();
        return createRows([], 1, false);
      },
      readChanges: async () => UNAVAILABLE,
    },
    peers: { readChanges: async () => UNAVAILABLE },
    clock,
    options: OPTIONS,
    onEvent: (event) => events.push(event),
    wait: async () => stopAfter(clock, follower),
  });
  await follower.run();
  t2.equal(reads, 2);
  t2.strictSame(
    events.map(({ type }) => type),
    ['store_lost', 'store_regained'],
  );
});
