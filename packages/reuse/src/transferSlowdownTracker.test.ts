import t from 'tap';
import { TransferSlowdownTracker } from './index.js';

t.test('a slow link is detected within a few transfers and retried later', async (t2) => {
  const tracker = TransferSlowdownTracker.create();
  t2.equal(tracker.getSlowdownFactor('a', 0), 1);
  for (let index = 0; index < 5; index++) tracker.recordTransfer('a', 20, 160, index * 100);
  t2.ok(tracker.getSlowdownFactor('a', 500) > 5);
  t2.equal(tracker.getSlowdownFactor('b', 500), 1);
  t2.ok(tracker.getSlowdownFactor('a', 20_000) < 1.2);
});

t.test('one transfer that hangs does not exclude a source for long', async (t2) => {
  const tracker = TransferSlowdownTracker.create();
  tracker.recordTransfer('a', 20, 60_000, 0);
  t2.ok(tracker.getSlowdownFactor('a', 0) < 10);
});
