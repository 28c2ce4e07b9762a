import t from 'tap';
import {
  chooseStore,
  INDEX_MAX_AGE_MS,
  NEW_STORE_SAVE_DELAY_MS,
  SAVE_RETRY_MS,
  StoreIndex,
  type StoreIndexCursor,
} from './index.js';

const ADDED = {
  isAdded: true,
  part: { salt: 'v1', id: 'p', tokens: 100, model: 'm0' },
};

const createPart = (id: string) => ({ ...ADDED, part: { ...ADDED.part, id } });

const createIndex = () => {
  const index = StoreIndex.create();
  index.applyResponse(1, [], 0);
  index.applyResponse(1, [ADDED], 0);
  return index;
};

t.test('a part is read only if it is complete under the same salt', async (t2) => {
  const index = createIndex();
  t2.equal(index.canRead('v1', 'p', 1), true);
  t2.equal(index.canRead('v2', 'p', 1), false);
  t2.equal(index.canRead('v1/zamu', 'p', 1), false);
  t2.equal(index.canRead('v1', 'q', 1), false);
});

t.test('a part that another node may be writing again after a restart is not read', async (t2) => {
  const index = createIndex();
  // The store restarts right after the last response. Another node notices at once and saves parts
  // again after the delay; this node must not read them by its outdated index.
  const otherNodeSavesMs = NEW_STORE_SAVE_DELAY_MS;
  t2.equal(index.canRead('v1', 'p', otherNodeSavesMs), false);
  t2.ok(INDEX_MAX_AGE_MS < NEW_STORE_SAVE_DELAY_MS);
  index.applyResponse(2, [], otherNodeSavesMs);
  t2.equal(index.canRead('v1', 'p', otherNodeSavesMs), false);
  t2.equal(index.shouldSave('v1', 'p', otherNodeSavesMs + 1), false);
  index.applyResponse(2, [], otherNodeSavesMs + NEW_STORE_SAVE_DELAY_MS);
  t2.equal(index.shouldSave('v1', 'p', otherNodeSavesMs + NEW_STORE_SAVE_DELAY_MS), true);
});

t.test(
  'a store that did not respond is neither read nor written until it has recovered',
  async (t2) => {
    const index = createIndex();
    index.recordFailure();
    t2.equal(index.canRead('v1', 'p', 1), false);
    index.recordRecovery(10);
    index.applyResponse(1, [], 10);
    t2.equal(index.canRead('v1', 'p', 11), true);
    t2.equal(index.shouldSave('v1', 'q', 11), false);
  },
);

t.test('a part is not sent repeatedly while its event is pending', async (t2) => {
  const index = createIndex();
  const nowMs = NEW_STORE_SAVE_DELAY_MS;
  index.applyResponse(1, [], nowMs);
  t2.equal(index.shouldSave('v1', 'q', nowMs), true);
  index.recordSave('v1', 'q', nowMs);
  t2.equal(index.shouldSave('v1', 'q', nowMs + 1), false);
  index.applyResponse(1, [], nowMs + SAVE_RETRY_MS);
  t2.equal(index.shouldSave('v1', 'q', nowMs + SAVE_RETRY_MS), true);
  t2.equal(index.shouldSave('v1', 'p', nowMs + SAVE_RETRY_MS), false);
});

t.test(
  'stores receive parts in proportion to capacity, and a lost store moves only its own parts',
  async (t2) => {
    const stores = [
      { address: 'a', zone: 'z', capacityTokens: 300 },
      { address: 'b', zone: 'z', capacityTokens: 100 },
      { address: 'c', zone: 'z', capacityTokens: 100 },
    ];
    let large = 0;
    const count = 4_000;
    for (let part = 0; part < count; part++) {
      const chosen = chooseStore(`p${part}`, stores);
      if (chosen?.address === 'a') large += 1;
      if (chosen?.address === 'c') continue;
      t2.equal(chooseStore(`p${part}`, stores.slice(0, 2))?.address, chosen?.address);
    }
    t2.ok(Math.abs(large / count - 0.6) < 0.04);
    t2.equal(chooseStore('p', []), undefined);
  },
);

t.test(
  'a node that follows a watcher reads no parts from an earlier epoch of the store',
  async (t2) => {
    const watcher = createIndex();
    const follower = StoreIndex.create();
    const follow = (cursor: Omit<StoreIndexCursor, 'epoch'>, nowMs: number) => {
      const update = watcher.createUpdate({ epoch: follower.epoch ?? 0, ...cursor }, nowMs);
      if (update === undefined) return cursor;
      follower.applyUpdate(update, nowMs - update.ageMs);
      return { log: update.log, since: update.next };
    };
    let since = follow({ log: 0, since: 0 }, 100);
    t2.equal(follower.canRead('v1', 'p', 100), true);
    t2.equal(follower.canRead('v1', 'p', INDEX_MAX_AGE_MS), false);
    watcher.applyResponse(1, [{ ...ADDED, part: { ...ADDED.part, id: 'q' } }], 500);
    since = follow(since, 600);
    t2.equal(follower.canRead('v1', 'q', 600), true);
    watcher.applyResponse(2, [], 700);
    follow(since, 800);
    t2.equal(follower.canRead('v1', 'p', 800), false);
    const cursor = { epoch: 2, log: 0, since: 0 };
    t2.equal(watcher.createUpdate(cursor, 700 + INDEX_MAX_AGE_MS), undefined);
  },
);

// Guards against parts that a node reads from a store after they were removed there: a watcher that restarted counts
// its changes anew, and a whole index names no removals.
t.test('parts that were removed before a watcher restarted are not read any more', async (t2) => {
  const before = StoreIndex.create(1);
  before.applyResponse(1, [], 0);
  before.applyResponse(1, [createPart('a'), createPart('b')], 0);
  const follower = StoreIndex.create();
  const first = before.createUpdate({ epoch: 0, log: 0, since: 0 }, 0)!;
  follower.applyUpdate(first, 0);
  t2.equal(follower.canRead('v1', 'a', 0), true);
  const after = StoreIndex.create(2);
  after.applyResponse(1, [], 100);
  after.applyResponse(1, [createPart('b'), createPart('c'), createPart('d')], 100);
  const second = after.createUpdate({ epoch: 1, log: first.log, since: first.next }, 100)!;
  follower.applyUpdate(second, 100);
  const readable = ['a', 'b', 'c', 'd'].filter((id) => follower.canRead('v1', id, 100));
  t2.strictSame(readable, ['b', 'c', 'd']);
});

const listReadable = (index: StoreIndex, ids: readonly string[]) =>
  ids.filter((id) => index.canRead('v1', id, 100));

/** A follower that knows the parts a, b and c from a watcher with all events of the store. */
const createFollower = () => {
  const watcher = StoreIndex.create(1);
  watcher.applyResponse(1, [], 0);
  watcher.applyResponse(1, [createPart('a'), createPart('b'), createPart('c')], 0);
  const follower = StoreIndex.create(2);
  follower.applyUpdate(watcher.createUpdate({ epoch: 0, log: 0, since: 0 }, 0)!, 0);
  return follower;
};

// Guards against nodes that forget most parts of a store when they change to a watcher that started later: it knows
// the newest events only.
t.test('a watcher that lacks events of the store removes what it saw removed', async (t2) => {
  const follower = createFollower();
  const watcher = StoreIndex.create(3);
  watcher.applyResponse(1, [], 100);
  watcher.applyResponse(1, [createPart('d'), { ...createPart('b'), isAdded: false }], 100, true);
  const update = watcher.createUpdate({ epoch: 1, log: 1, since: 3 }, 100)!;
  t2.equal(update.isComplete, false);
  follower.applyUpdate(update, 100);
  t2.strictSame(listReadable(follower, ['a', 'b', 'c', 'd']), ['a', 'c', 'd']);
  // What it passes on is no more complete than what it got.
  const passedOn = follower.createUpdate({ epoch: 0, log: 0, since: 0 }, 100)!;
  t2.equal(passedOn.isComplete, false);
  watcher.applyResponse(1, [{ ...createPart('a'), isAdded: false }], 100);
  const changes = watcher.createUpdate({ epoch: 1, log: 3, since: update.next }, 100)!;
  t2.equal(changes.isPartial, true);
  follower.applyUpdate(changes, 100);
  t2.strictSame(listReadable(follower, ['a', 'b', 'c', 'd']), ['c', 'd']);
});

// Guards against nodes that forget all parts of a store when its watcher has started and not read its events yet.
t.test('a watcher that has not read the events of the store removes nothing', async (t2) => {
  const follower = createFollower();
  const watcher = StoreIndex.create(3);
  watcher.applyResponse(1, [], 100);
  follower.applyUpdate(watcher.createUpdate({ epoch: 1, log: 1, since: 3 }, 100)!, 100);
  t2.strictSame(listReadable(follower, ['a', 'b', 'c']), ['a', 'b', 'c']);
  watcher.applyResponse(1, [createPart('a')], 100);
  const whole = watcher.createUpdate({ epoch: 1, log: 1, since: 3 }, 100)!;
  t2.equal(whole.isComplete, true);
  follower.applyUpdate(whole, 100);
  t2.strictSame(listReadable(follower, ['a', 'b', 'c']), ['a']);
});
