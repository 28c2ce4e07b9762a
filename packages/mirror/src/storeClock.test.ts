import t from 'tap';
import { createRandom, ManualClock } from '@lovagearch/common';
import { StoreClock, TableMirror } from './index.js';

const SEED_COUNT = 100;
const RESPONSES_PER_SEED = 200;
const MAX_TRANSIT_MS = 400;
/** A clock that runs 100 ppm slow against that of the process. */
const STORE_RATE = 1 - 1e-4;

// Guards against a takeover of a lease, or an expired announcement, judged by an estimate that is ahead.
t.test('the estimate is never ahead of the store and lags by the fastest transit', async (t2) => {
  for (let seed = 1; seed <= SEED_COUNT; seed++) {
    const random = createRandom(seed);
    const clock = ManualClock.create(random() * 1e6);
    const startMs = clock.nowMs();
    const storeStartMs = random() * 1e9;
    const getStoreMs = () => storeStartMs + (clock.nowMs() - startMs) * STORE_RATE;
    const storeClock = StoreClock.create(clock);
    t2.equal(storeClock.nowMs(), undefined);
    for (let response = 0; response < RESPONSES_PER_SEED; response++) {
      const readingMs = getStoreMs();
      clock.addMs(random() < 0.5 ? 1 : random() * MAX_TRANSIT_MS);
      storeClock.recordReading(readingMs);
      clock.addMs(random() * 1_000);
      const lagMs = getStoreMs() - storeClock.nowMs()!;
      const message = `seed ${seed} response ${response}`;
      // The drift within the lifetime of a reading.
      t2.ok(lagMs > -20_000 * 2e-4, message);
      if (response > 20) t2.ok(lagMs < 10, message);
    }
  }
});

// Guards against a limit that a suspension of the VM extends for good.
t.test('the first response after a suspension corrects the estimate', async (t2) => {
  const clock = ManualClock.create();
  const storeClock = StoreClock.create(clock);
  storeClock.recordReading(1_000);
  // The clock of the process stands still while the VM is suspended.
  storeClock.recordReading(6_000);
  t2.equal(storeClock.nowMs(), 6_000);
});

t.test('a change is dated after the state of the copy before it', async (t2) => {
  const clock = ManualClock.create();
  const storeClock = StoreClock.create(clock);
  const mirror = TableMirror.create('op', { storeClock });
  const changes: [string, number | undefined][] = [];
  mirror.addListener(({ key, version }, committedAfterMs) =>
    changes.push([`${key}@${version}`, committedAfterMs]),
  );
  const createBatch = (version: number, asOfStoreMs: number, key?: string) => ({
    rows: key === undefined ? [] : [{ key, version, value: 'x' }],
    version,
    isPartial: version > 1,
    ageMs: 0,
    asOfStoreMs,
  });
  mirror.applyBatch(createBatch(1, 500, 'a'), 0);
  mirror.applyBatch(createBatch(1, 900), 400);
  mirror.applyBatch(createBatch(2, 1_300, 'b'), 800);
  t2.strictSame(changes, [
    ['a@1', undefined],
    ['b@2', 900],
  ]);
  // A relayed copy keeps the time as of which it was complete; its age shows what the clock reads now.
  const relayed = mirror.createBatch(1, 1_000);
  t2.equal(relayed.asOfStoreMs, 1_300);
  t2.equal(relayed.ageMs, 200);
  const follower = StoreClock.create(clock);
  TableMirror.create('op', { storeClock: follower }).applyBatch(relayed, 0);
  t2.equal(follower.nowMs(), 1_500);
});
