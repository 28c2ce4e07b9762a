import assert from 'node:assert/strict';
import fc from 'fast-check';
import t from 'tap';
import { ManualClock } from '@lovagearch/common';
import {
  type MirrorEvent,
  MirrorFollower,
  type MirroredRow,
  type ReadResult,
  type RowBatch,
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
        assert.deepEqual(actual, expected);
      }
    }),
  );
  t2.end();
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

/** The rows of a table at each of its versions, as a store has them that loses nothing. */
class VersionedTable {
  private readonly states: ReadonlyMap<string, MirroredRow>[] = [new Map()];

  private readonly changes: MirroredRow[] = [];

  get version(): number {
    return this.states.length - 1;
  }

  getState(version: number): ReadonlyMap<string, MirroredRow> {
    return this.states[version]!;
  }

  /** A change without a key is one of another table, which has the same versions. */
  change(key: string | undefined, isRemoved: boolean): void {
    const version = this.version + 1;
    const state = new Map(this.states.at(-1));
    if (key !== undefined) {
      const row = { key, version, value: isRemoved ? undefined : `v${version}` };
      if (isRemoved) state.delete(key);
      else state.set(key, row);
      this.changes.push(row);
    }
    this.states.push(state);
  }

  readAll(): RowBatch {
    const rows = [...this.getState(this.version).values()];
    return { rows, version: this.version, isPartial: false, ageMs: 0 };
  }

  readChanges(afterVersion: number): RowBatch {
    const rows = this.changes.filter(({ version }) => version > afterVersion);
    return { rows, version: this.version, isPartial: true, ageMs: 0 };
  }
}

const listValues = (rows: Iterable<MirroredRow>): string[] =>
  [...rows].map(({ key, value }) => `${key}=${value}`).sort();

// Guards against a row that stays in use after its removal: a copy after a restart, or after a read of the whole
// table, can't tell a peer which rows were removed before.
t.test('copies of copies have the rows of their version across restarts', async (t2) => {
  const copies = 4;
  const copy = fc.nat({ max: copies - 1 });
  const step = fc.oneof(
    {
      weight: 4,
      arbitrary: fc.record({
        type: fc.constant('change' as const),
        key: fc.option(fc.constantFrom('a', 'b', 'c', 'd'), { nil: undefined }),
        isRemoved: fc.boolean(),
      }),
    },
    { weight: 2, arbitrary: fc.record({ type: fc.constant('read' as const), copy }) },
    { weight: 1, arbitrary: fc.record({ type: fc.constant('read_all' as const), copy }) },
    { weight: 1, arbitrary: fc.record({ type: fc.constant('restart' as const), copy }) },
    { weight: 4, arbitrary: fc.record({ type: fc.constant('copy' as const), copy, peer: copy }) },
    { weight: 2, arbitrary: fc.record({ type: fc.constant('ask' as const), copy, peer: copy }) },
    { weight: 2, arbitrary: fc.record({ type: fc.constant('receive' as const), copy }) },
  );
  fc.assert(
    fc.property(fc.array(step, { maxLength: 80, size: 'max' }), (steps) => {
      const table = new VersionedTable();
      const mirrors = Array.from({ length: copies }, () => TableMirror.create('servers'));
      /** The batch that each copy has asked a peer for and that arrives later. */
      const pending = new Map<number, RowBatch>();
      for (const next of steps) {
        switch (next.type) {
          case 'change':
            table.change(next.key, next.isRemoved);
            break;
          case 'read': {
            const mirror = mirrors[next.copy]!;
            mirror.applyBatch(
              mirror.version === 0 ? table.readAll() : table.readChanges(mirror.version),
              0,
            );
            break;
          }
          case 'read_all':
            mirrors[next.copy]!.applyBatch(table.readAll(), 0);
            break;
          case 'restart':
            mirrors[next.copy] = TableMirror.create('servers');
            pending.delete(next.copy);
            break;
          case 'copy': {
            const mirror = mirrors[next.copy]!;
            const peer = mirrors[next.peer]!;
            if (peer.version > 0) mirror.applyBatch(peer.createBatch(mirror.version, 0), 0);
            break;
          }
          case 'ask': {
            const peer = mirrors[next.peer]!;
            if (peer.version > 0)
              pending.set(next.copy, peer.createBatch(mirrors[next.copy]!.version, 0));
            break;
          }
          case 'receive': {
            const batch = pending.get(next.copy);
            if (batch !== undefined) mirrors[next.copy]!.applyBatch(batch, 0);
            pending.delete(next.copy);
            break;
          }
          default:
            next satisfies never;
        }
        for (const mirror of mirrors)
          // Throws, so that a failure is shrunk and reported with its seed.
          assert.deepEqual(
            listValues(mirror.listRows()),
            listValues(table.getState(mirror.version).values()),
          );
      }
    }),
    { numRuns: 5_000 },
  );
  t2.end();
});

/**
 * Copies of a table in which a row was added at version 2 and removed at version 3: `atTwo` has the row, `relay` took its
 * rows from a copy that read version 1 and then, as a whole, version 3.
 */
const createCopiesAroundGap = () => {
  const table = new VersionedTable();
  table.change(undefined, false);
  const reader = TableMirror.create('servers');
  reader.applyBatch(table.readAll(), 0);
  const relay = TableMirror.create('servers');
  relay.applyBatch(reader.createBatch(relay.version, 0), 0);
  const slow = TableMirror.create('servers');
  slow.applyBatch(reader.createBatch(slow.version, 0), 0);
  table.change('a', false);
  const atTwo = TableMirror.create('servers');
  atTwo.applyBatch(table.readAll(), 0);
  slow.applyBatch(table.readChanges(slow.version), 0);
  table.change('a', true);
  reader.applyBatch(table.readAll(), 0);
  const changesSinceOne = reader.createBatch(1, 0);
  relay.applyBatch(changesSinceOne, 0);
  return { atTwo, relay, slow, changesSinceOne };
};

// Guards against a row that stays in use after its removal: changes from a peer that skipped versions skip them too.
t.test('a copy of changes passes on the versions that its source skipped', async (t2) => {
  const { atTwo, relay } = createCopiesAroundGap();
  t2.equal(relay.version, 3);
  t2.equal(atTwo.applyBatch(relay.createBatch(atTwo.version, 0), 0), true);
  t2.strictSame(listValues(atTwo.listRows()), []);
});

// Guards against a row that stays in use after its removal: the copy received the row after it had asked for changes.
t.test('changes that skip the version of the copy are ignored', async (t2) => {
  const { slow, changesSinceOne } = createCopiesAroundGap();
  t2.equal(changesSinceOne.isPartial, true);
  t2.equal(slow.applyBatch(changesSinceOne, 0), false);
  t2.equal(slow.version, 2, 'the copy asks again for the changes since its version');
});

t.test('a copy of a restarted peer loses the rows that were removed before', async (t2) => {
  const endpoint = { key: 'i-1', version: 1, value: 'ready' };
  const follower = TableMirror.create('servers');
  follower.applyBatch({ rows: [endpoint], version: 1, isPartial: false, ageMs: 0 }, 0);
  const restarted = TableMirror.create('servers');
  restarted.applyBatch({ rows: [], version: 3, isPartial: false, ageMs: 0 }, 0);
  follower.applyBatch(restarted.createBatch(follower.version, 0), 0);
  t2.strictSame([...follower.listRows()], []);
});

// Guards against whole tables on the links of a region after each restart of a node that reads the store for it.
t.test('a copy that was complete before a whole read sends changes to older copies', async (t2) => {
  const createRow = (key: string, version: number) => ({ key, version, value: 'ready' });
  const mirror = TableMirror.create('servers');
  const rows = [createRow('a', 1), createRow('b', 2)];
  mirror.applyBatch({ rows, version: 5, isPartial: false, ageMs: 0 }, 0);
  mirror.applyBatch({ rows: [createRow('b', 2)], version: 9, isPartial: false, ageMs: 0 }, 0);
  const batch = mirror.createBatch(5, 0);
  t2.equal(batch.isPartial, true);
  t2.strictSame(batch.rows, [{ key: 'a', version: 9, value: undefined }]);
  t2.equal(mirror.createBatch(7, 0).isPartial, false);
});
