import t from 'tap';
import { ReopenBackoff } from './reopenBackoff.js';

t.test(
  'backoff bounds the takeovers between rival shard owners in a network partition',
  async (t2) => {
    const pause = ReopenBackoff.create();
    let nowMs = 0;
    let openings = 0;
    while (nowMs < 60_000) {
      pause.recordOpening(nowMs);
      openings += 1;
      // The rival owner takes over the shard 100 ms later.
      nowMs = Math.max(nowMs + 100, pause.recordLoss(nowMs + 100));
    }
    t2.ok(openings <= 20, `${openings} takeovers in a minute`);
  },
);

t.test('a shard that was open for a long time is reopened without a delay', async (t2) => {
  const pause = ReopenBackoff.create();
  for (let loss = 0; loss < 5; loss++) pause.recordLoss(loss);
  pause.recordOpening(1_000);
  t2.equal(pause.recordLoss(20_000), 20_000);
});
