import t from 'tap';
import { StoreEra } from './storeEra.js';
import { TableMirror, type TableMirrorOptions } from './tableMirror.js';
import type { MirroredRow, RowBatch } from './types.js';

const GRACE_MS = 3_000;

const createRow = (key: string, version: number, value: string | undefined): MirroredRow => ({
  key,
  version,
  value,
});

const createBatch = (
  era: number,
  version: number,
  rows: readonly MirroredRow[],
  more: Partial<RowBatch> = {},
): RowBatch => ({ rows, version, era, isPartial: false, ageMs: 0, ...more });

const createMirror = (options: TableMirrorOptions = {}) => {
  const changes: string[] = [];
  const mirror = TableMirror.create('op', { lostRowGraceMs: GRACE_MS, ...options });
  mirror.addListener(({ key, value }) => changes.push(`${key}=${value ?? 'removed'}`));
  return { mirror, changes };
};

/** A copy of the first era: a at version 5, then b at 8, then a again at 10, then c at 12 and its removal at 14. */
const createKnown = (options: TableMirrorOptions = {}) => {
  const created = createMirror(options);
  const { mirror, changes } = created;
  mirror.applyBatch(createBatch(1, 5, [createRow('a', 5, 'a5')]), 0);
  const apply = (version: number, row: MirroredRow) =>
    mirror.applyBatch(createBatch(1, version, [row], { isPartial: true }), 0);
  apply(8, createRow('b', 8, 'b8'));
  apply(10, createRow('a', 10, 'a10'));
  apply(12, createRow('c', 12, 'c12'));
  apply(14, createRow('c', 14, undefined));
  changes.length = 0;
  return created;
};

const readValues = (mirror: TableMirror) =>
  Object.fromEntries([...mirror.listRows()].map(({ key, value }) => [key, value]));

// Guards against a copy that ignores a restored store until its versions have passed its own.
t.test('a change with a lower version of a later era is applied', async (t2) => {
  const { mirror, changes } = createKnown();
  const rows = [createRow('a', 5, 'a5'), createRow('b', 8, 'b8'), createRow('d', 9, 'd9')];
  t2.ok(mirror.applyBatch(createBatch(2, 9, rows), 100));
  t2.strictSame(changes, ['d=d9']);
  t2.equal(mirror.version, 9);
  mirror.applyBatch(createBatch(2, 10, [createRow('b', 10, 'b10')], { isPartial: true }), 200);
  t2.strictSame(changes, ['d=d9', 'b=b10']);
});

// Guards against a restored row that replaces a later one, or brings back one that was removed.
t.test('rows of the copy that the store was restored from change nothing', async (t2) => {
  const { mirror, changes } = createKnown();
  const rows = [createRow('a', 5, 'a5'), createRow('b', 8, 'b8'), createRow('c', 12, 'c12')];
  mirror.applyBatch(createBatch(2, 12, rows), 100);
  mirror.applyBatch(createBatch(2, 13, rows), GRACE_MS * 2);
  t2.strictSame(changes, []);
  t2.strictSame(readValues(mirror), { a: 'a10', b: 'b8' });
  t2.ok(mirror.isUnconfirmed('a'));
});

// Guards against a row that was written again with a version that another row or value had before the restore.
t.test('a version that was given out again is told by its row and value', async (t2) => {
  const { mirror, changes } = createKnown();
  const rows = [createRow('a', 8, 'a8'), createRow('b', 10, 'b10')];
  mirror.applyBatch(createBatch(2, 10, rows), 100);
  t2.strictSame(changes, ['b=b10', 'a=a8'].sort());
});

// Guards against a removal at once of what its writer has not written again yet, and against one that stays for ever.
t.test('a row that the store has lost stays until its grace period ends', async (t2) => {
  const { mirror, changes } = createKnown();
  mirror.applyBatch(createBatch(2, 6, [createRow('a', 5, 'a5')]), 100);
  t2.ok(mirror.isUnconfirmed('b'));
  mirror.applyBatch(createBatch(2, 6, [], { isPartial: true }), 100 + GRACE_MS - 1);
  t2.strictSame(changes, []);
  mirror.applyBatch(createBatch(2, 6, [], { isPartial: true }), 100 + GRACE_MS);
  t2.strictSame(changes, ['b=removed']);
});

t.test('a row that is written again in its grace period stays', async (t2) => {
  const { mirror, changes } = createKnown();
  mirror.applyBatch(createBatch(2, 6, [createRow('a', 5, 'a5')]), 100);
  mirror.applyBatch(createBatch(2, 7, [createRow('b', 7, 'b8')], { isPartial: true }), 200);
  t2.notOk(mirror.isUnconfirmed('b'));
  mirror.applyBatch(createBatch(2, 7, [], { isPartial: true }), GRACE_MS * 2);
  t2.strictSame(readValues(mirror), { a: 'a10', b: 'b8' });
  t2.notOk(changes.includes('b=removed'));
});

// Guards against a copy that lags and takes what it doesn't know for changes since the restore.
t.test('a copy that is older than the one of the store takes its rows', async (t2) => {
  const { mirror } = createMirror();
  mirror.applyBatch(createBatch(1, 5, [createRow('a', 5, 'a5')]), 0);
  mirror.applyBatch(createBatch(2, 8, [createRow('a', 5, 'a5'), createRow('b', 8, 'b8')]), 100);
  const { mirror: peer } = createKnown();
  peer.applyBatch(createBatch(2, 9, [createRow('a', 5, 'a5'), createRow('b', 9, 'b9')]), 100);
  t2.strictSame(readValues(mirror), { a: 'a5', b: 'b8' });
  mirror.applyBatch(peer.createBatch(8, 100, 2), 100);
  t2.strictSame(readValues(mirror), { a: 'a10', b: 'b9' });
});

// Guards against a partial read that skips what was written below the version of the copy in a later era.
t.test('changes of a later era need a read of the whole table', async (t2) => {
  const { mirror } = createKnown();
  const changes = createBatch(2, 20, [createRow('b', 20, 'b20')], { isPartial: true });
  t2.notOk(mirror.applyBatch(changes, 100));
  t2.equal(mirror.era, 1);
});

// Guards against a start that knows only what the store was restored to.
t.test('a copy that began after a restore takes what a peer knows beyond it', async (t2) => {
  const { mirror: peer } = createKnown();
  const restored = [createRow('a', 5, 'a5'), createRow('c', 12, 'c12'), createRow('d', 13, 'd13')];
  peer.applyBatch(createBatch(2, 13, restored), 100);
  const { mirror } = createMirror();
  mirror.applyBatch(createBatch(2, 13, restored), 100);
  t2.strictSame(readValues(mirror), { a: 'a5', c: 'c12', d: 'd13' });
  mirror.mergeCopy(peer.createBatch(0, 100, -1));
  t2.strictSame(readValues(mirror), { a: 'a10', b: 'b8', d: 'd13' });
  mirror.applyBatch(createBatch(2, 13, [], { isPartial: true }), 100 + GRACE_MS);
  t2.strictSame(readValues(mirror), { a: 'a10', d: 'd13' }, 'what was lost ends with its grace');
});

// Guards against a node without the store that never hears of a new era, or takes older rows for newer ones.
t.test('a copy goes over to the era of a peer', async (t2) => {
  const { mirror: peer } = createKnown();
  peer.applyBatch(createBatch(2, 9, [createRow('a', 5, 'a5'), createRow('d', 9, 'd9')]), 100);
  const { mirror } = createKnown();
  const batch = peer.createBatch(mirror.version, 100, mirror.era);
  t2.notOk(batch.isPartial);
  t2.ok(mirror.applyBatch(batch, 100));
  t2.strictSame(readValues(mirror), { a: 'a10', b: 'b8', d: 'd9' });
  t2.equal(mirror.era, 2);
  const { mirror: late } = createKnown();
  t2.notOk(mirror.applyBatch(late.createBatch(0, 100), 100), 'an earlier era is ignored');
});

// Guards against a node that has just started and takes restored rows from before its first read for new ones.
t.test('a restored row from before the first read waits for the word of a peer', async (t2) => {
  const restored = [createRow('a', 5, 'a5'), createRow('b', 7, 'b7')];
  const createStarted = () => {
    const { mirror } = createMirror();
    const rows = [createRow('a', 10, 'a10'), createRow('b', 9, 'b9')];
    mirror.applyBatch(createBatch(1, 10, rows), 0);
    mirror.applyBatch(createBatch(2, 7, restored), 100);
    return mirror;
  };
  const mirror = createStarted();
  t2.strictSame(readValues(mirror), { a: 'a10', b: 'b9' });
  t2.ok(mirror.isUncertain);
  const { mirror: peer } = createKnown();
  peer.applyBatch(createBatch(2, 7, restored), 100);
  mirror.mergeCopy(peer.createBatch(0, 100, -1));
  t2.strictSame(readValues(mirror), { a: 'a10', b: 'b7' });
  t2.notOk(mirror.isUncertain);
  const alone = createStarted();
  alone.applyBatch(createBatch(2, 7, [], { isPartial: true }), 100 + GRACE_MS);
  t2.strictSame(readValues(alone), { a: 'a5', b: 'b7' }, 'without a peer the store decides');
});

// Guards against copies that a second restore sets back.
t.test('what is in force outlasts two restores', async (t2) => {
  const { mirror, changes } = createKnown();
  mirror.applyBatch(createBatch(2, 6, [createRow('a', 5, 'a5')]), 100);
  mirror.applyBatch(createBatch(3, 5, [createRow('a', 5, 'a5')]), 200);
  t2.strictSame(changes, []);
  t2.strictSame(readValues(mirror), { a: 'a10', b: 'b8' });
  mirror.applyBatch(createBatch(3, 6, [createRow('a', 6, 'a6')], { isPartial: true }), 300);
  t2.strictSame(changes, ['a=a6']);
});

// Guards against times of earlier events that lie in the future after the store's clock was set back.
t.test('the clock of the store goes on if a restore sets it back', async (t2) => {
  let nowMs = 0;
  const storeEra = StoreEra.create({ nowMs: () => nowMs });
  t2.equal(storeEra.recordResponse(1, 50_000), 50_000);
  nowMs = 2_000;
  // A peer may name the era before the store does.
  storeEra.recordEra(2);
  t2.equal(storeEra.recordResponse(2, 43_000), 52_000);
  nowMs = 3_000;
  t2.equal(storeEra.recordResponse(2, 44_000), 53_000);
  t2.equal(storeEra.recordResponse(1, 60_000), undefined, 'a response of the era before');
  t2.equal(storeEra.recordResponse(3, 90_000), 99_000, 'a clock that is ahead is followed');
});

// Guards against listeners that miss a restore or are told of one twice.
t.test('listeners are told each later era once', async (t2) => {
  const storeEra = StoreEra.create({ nowMs: () => 0 });
  const eras: [number, number][] = [];
  storeEra.addListener((era, previousEra) => eras.push([era, previousEra]));
  const { mirror } = createKnown({ storeEra });
  mirror.applyBatch(createBatch(2, 5, [createRow('a', 5, 'a5')]), 0);
  storeEra.recordEra(2);
  storeEra.recordEra(1);
  t2.strictSame(eras, [
    [1, 0],
    [2, 1],
  ]);
});
