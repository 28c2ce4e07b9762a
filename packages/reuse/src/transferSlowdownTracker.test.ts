import t from 'tap';
import { TransferSlowdownTracker } from './index.js';

t.test('a slow link is detected within a few transfers and retried later', async (t2) => {
  const tracker = TransferSlowdownTracker.create();
  t2.equal(tracker.getSlowdownFactor('a', 0), 1);
  for (let index = 0; index < 5; index++) tracker.recordTransfer('a', 20, 160, index * 100);
  t2.ok(tracker.getSlowdownFactor('a', 500) > 5);
  t2.ok(tracker.getSlowdownFactor('b', 500) > 2, 'a source without transfers of its own');
  for (let index = 0; index < 20; index++) tracker.recordTransfer('b', 20, 20, 400);
  t2.ok(tracker.getSlowdownFactor('b', 500) < 1.2, 'its own transfers show more');
  t2.ok(tracker.getSlowdownFactor('a', 20_000) < 1.2);
});

t.test('one transfer that hangs does not exclude a source for long', async (t2) => {
  const tracker = TransferSlowdownTracker.create();
  tracker.recordTransfer('a', 20, 60_000, 0);
  t2.ok(tracker.getSlowdownFactor('a', 0) < 10);
});

// Guards against prompts that wait for congested stores, as a node of a large deployment transfers from each one
// only once in several seconds.
t.test('congestion of all sources is noticed although each is used rarely', async (t2) => {
  const tracker = TransferSlowdownTracker.create();
  const sources = Array.from({ length: 30 }, (_, index) => `store-${index}`);
  let nowMs = 0;
  for (const source of sources) {
    nowMs += 300;
    tracker.recordTransfer(source, 50, 1_000, nowMs);
  }
  const factors = sources.map((source) => tracker.getSlowdownFactor(source, nowMs));
  t2.ok(Math.min(...factors) > 8, `${Math.min(...factors)}`);
  nowMs += 20_000;
  t2.ok(tracker.getSlowdownFactor('store-3', nowMs) < 1.3, 'the sources are tried again');
});
