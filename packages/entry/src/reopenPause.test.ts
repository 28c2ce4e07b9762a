import t from 'tap';
import { ReopenPause } from './reopenPause.js';

t.test('owners of parted regions take a shard from each other without end', async (t2) => {
  const pause = ReopenPause.create();
  let nowMs = 0;
  let openings = 0;
  while (nowMs < 60_000) {
    pause.recordOpening(nowMs);
    openings += 1;
    // The rival takes the shard 100 ms later.
    nowMs = Math.max(nowMs + 100, pause.recordLoss(nowMs + 100));
  }
  t2.ok(openings <= 20, `${openings} takeovers in a minute`);
});

t.test('a shard that was held for long is opened again without a pause', async (t2) => {
  const pause = ReopenPause.create();
  for (let loss = 0; loss < 5; loss++) pause.recordLoss(loss);
  pause.recordOpening(1_000);
  t2.equal(pause.recordLoss(20_000), 20_000);
});
