import { SimulatedTime } from '@lovagearch/common';
import t from 'tap';
import { type MirrorEvent, MirrorFollower } from './mirrorFollower.js';
import { TableMirror } from './tableMirror.js';
import type { MirroredRow, PeerSource, ReadResult, RowBatch } from './types.js';

const CALL_MS = 20;
const RUN_MS = 1_000;

const createRow = (key: string, version: number): MirroredRow => ({
  key,
  version,
  value: `${key}${version}`,
});

const createResult = (
  era: number,
  version: number,
  rows: readonly MirroredRow[],
  isPartial = false,
): ReadResult => ({ type: 'rows', batch: { era, version, rows, isPartial, ageMs: 0 } });

const UNAVAILABLE: ReadResult = {
  type: 'failure',
  failure: { type: 'unavailable', reason: 'no peer' },
};

interface StoreState {
  readonly all: ReadResult;
  readonly changes: (afterVersion: number) => ReadResult;
}

/** Follows a table for a second of simulated time; the store may change its state while a call is under way. */
const follow = async (
  mirror: TableMirror,
  getState: (nowMs: number) => StoreState,
  peers: PeerSource = { readChanges: async () => UNAVAILABLE },
  onCall: (nowMs: number) => void = () => undefined,
): Promise<MirrorEvent[]> => {
  const time = SimulatedTime.create();
  const events: MirrorEvent[] = [];
  const call = async (select: (state: StoreState) => ReadResult) => {
    const state = getState(time.nowMs());
    await time.wait(CALL_MS);
    onCall(time.nowMs());
    return select(state);
  };
  const follower = MirrorFollower.create({
    mirror,
    source: {
      readAll: async () => call(({ all }) => all),
      readChanges: async (_table, after) => call(({ changes }) => changes(after)),
    },
    peers,
    clock: time,
    wait: (delayMs) => time.wait(delayMs),
    onEvent: (event) => events.push(event),
    options: {
      getLongPollMs: () => 0,
      answerTimeoutMs: 100,
      getPollIntervalMs: () => 100,
      retryDelayMs: 100,
      peerFallback: { type: 'after_failure', minAgeMs: Infinity },
      isStoreReadDue: () => true,
    },
  });
  const done = follower.run();
  await time.runUntil(RUN_MS);
  follower.stop();
  await time.runUntil(2 * RUN_MS);
  await done;
  return events;
};

const FIRST: StoreState = {
  all: createResult(1, 10, [createRow('a', 10)]),
  changes: () => createResult(1, 10, [], true),
};
/** A state of the second era whose versions have passed those of the first. */
const SECOND: StoreState = {
  all: createResult(2, 12, [createRow('a', 5), createRow('b', 7)]),
  changes: () => createResult(2, 12, [], true),
};

// Guards against a follower that goes on with changes in a new era, and misses what was written below its version.
t.test('the whole table is read when the store names a new era', async (t2) => {
  const mirror = TableMirror.create('op', { lostRowGraceMs: 10 * RUN_MS });
  const events = await follow(mirror, (nowMs) => (nowMs < RUN_MS / 2 ? FIRST : SECOND));
  t2.equal(mirror.getRow('b')?.value, 'b7');
  t2.equal(mirror.getRow('a')?.value, 'a10');
  t2.match(
    events.find(({ type }) => type === 'history_lost'),
    { afterVersion: 10, era: 2, version: 12 },
  );
});

// Guards against changes after a version of the era before, which arrive when a peer has brought the new era.
t.test('changes that were asked for before a new era are not applied', async (t2) => {
  const mirror = TableMirror.create('op');
  const batch: RowBatch = {
    era: 2,
    version: 6,
    rows: [createRow('a', 5)],
    isPartial: false,
    ageMs: 0,
  };
  const restored: StoreState = {
    all: createResult(2, 12, [createRow('a', 5), createRow('b', 7)]),
    changes: (after) => createResult(2, 12, after < 7 ? [createRow('b', 7)] : [], true),
  };
  const applyPeerBatch = (nowMs: number) => {
    if (nowMs > RUN_MS / 2 && mirror.era === 1) mirror.applyBatch(batch, nowMs);
  };
  const getState = (nowMs: number) => (nowMs < RUN_MS / 2 - CALL_MS ? FIRST : restored);
  await follow(mirror, getState, undefined, applyPeerBatch);
  t2.equal(mirror.era, 2);
  t2.equal(mirror.getRow('b')?.value, 'b7');
});

// Guards against a follower that starts after a restore and never asks its peers what the store has lost.
t.test('a follower whose first read is of a later era asks its peers', async (t2) => {
  const mirror = TableMirror.create('op', { lostRowGraceMs: 10 * RUN_MS });
  const rows = [
    { ...createRow('a', 10), era: 1 },
    { ...createRow('c', 9), era: 1 },
  ];
  let failures = 2;
  const peers: PeerSource = {
    readChanges: async () => {
      failures -= 1;
      return failures < 0 ? createResult(1, 10, rows) : UNAVAILABLE;
    },
  };
  await follow(mirror, () => SECOND, peers);
  const values = Object.fromEntries([...mirror.listRows()].map(({ key, value }) => [key, value]));
  t2.strictSame(values, { a: 'a10', b: 'b7', c: 'c9' });
  t2.equal(failures, -1, 'peers are asked until one responds');
});
