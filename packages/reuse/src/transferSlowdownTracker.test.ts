import t from 'tap';
import { TransferSlowdownTracker } from './index.js';

t.test(
  'a link that turns slow is noticed within a few transfers and tried again later',
  async (t2) => {
    const meter = TransferSlowdownTracker.create();
    t2.equal(meter.getSlowdownFactor('a', 0), 1);
    for (let index = 0; index < 5; index++) meter.recordTransfer('a', 20, 160, index * 100);
    t2.ok(meter.getSlowdownFactor('a', 500) > 5);
    t2.equal(meter.getSlowdownFactor('b', 500), 1);
    t2.ok(meter.getSlowdownFactor('a', 20_000) < 1.2);
  },
);

t.test('one transfer that never ended does not close a source for long', async (t2) => {
  const meter = TransferSlowdownTracker.create();
  meter.recordTransfer('a', 20, 60_000, 0);
  t2.ok(meter.getSlowdownFactor('a', 0) < 10);
});
