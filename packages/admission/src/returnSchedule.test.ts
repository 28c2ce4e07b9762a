import t from 'tap';
import { decideAdmission } from './decideAdmission.js';
import { ReturnSchedule } from './returnSchedule.js';

/** Kinds of deployment T that use engines: priority, requests per second, work and target. */
const KINDS = [
  { priority: 0, rate: 239, workMs: 12, targetMs: 408 },
  { priority: 1, rate: 192, workMs: 24, targetMs: 410 },
  { priority: 2, rate: 97.5, workMs: 100, targetMs: 1_519 },
] as const;
const TOTAL_RATE = KINDS.reduce((sum, { rate }) => sum + rate, 0);
const NODES = 85;
const ENGINES = 42;
const REFUSED = 2_000;
const INITIAL_WAIT_MS = 1_500;
const REMAINING_MS = 12_000;
const STEP_MS = 10;
/** Nodes learn of each other's requests this late. */
const VIEW_AGE_MS = 150;

type Policy = 'constant' | 'jitter' | 'schedule';

/** Creates a linear congruential generator, so that a failure repeats. */
const createRandom = (seed: number) => {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
};

/** Simulates the return of refused requests to engines that share their work evenly and get no others. */
const simulateReturn = (policy: Policy, seed: number) => {
  const random = createRandom(seed);
  const schedules = Array.from({ length: NODES }, () => ReturnSchedule.create());
  const returns: { atMs: number; kind: (typeof KINDS)[number] }[] = [];
  for (let index = 0; index < REFUSED; index++) {
    const point = random() * TOTAL_RATE;
    const kind = point < 239 ? KINDS[0] : KINDS[point < 239 + 192 ? 1 : 2];
    const { priority, workMs, targetMs } = kind;
    const decision = decideAdmission({
      expectedMs: INITIAL_WAIT_MS + workMs,
      ownMs: workMs,
      targetLatencyMs: targetMs,
      elapsedMs: 0,
      remainingMs: REMAINING_MS,
      priority,
      randomFraction: random(),
    });
    if (decision.type !== 'refuse') continue;
    const planned = schedules[index % NODES]!.plan(
      {
        priority,
        drainMs: decision.drainMs,
        workMs,
        capacity: ENGINES / NODES,
        remainingMs: REMAINING_MS,
        randomFraction: random(),
      },
      0,
    );
    const atMs = { constant: 1_000, jitter: decision.retryAfterMs, schedule: planned }[policy];
    returns.push({ atMs, kind });
  }
  returns.sort((one, other) => one.atMs - other.atMs);
  const peaks = new Map<number, number>();
  const waits: number[] = [];
  const meanMs = KINDS.map(({ priority }) => {
    const times = returns.filter(({ kind }) => kind.priority === priority);
    return times.reduce((sum, { atMs }) => sum + atMs, 0) / times.length;
  });
  let [waitMs, inTime, next] = [INITIAL_WAIT_MS, 0, 0];
  for (let nowMs = 0; next < returns.length; nowMs += STEP_MS) {
    waits.push(waitMs);
    const seenMs = waits.at(-1 - VIEW_AGE_MS / STEP_MS) ?? INITIAL_WAIT_MS;
    for (; (returns[next]?.atMs ?? Infinity) < nowMs + STEP_MS; next++) {
      const { workMs, targetMs, priority } = returns[next]!.kind;
      peaks.set(Math.floor(nowMs / 100), (peaks.get(Math.floor(nowMs / 100)) ?? 0) + 1);
      const { type } = decideAdmission({
        expectedMs: seenMs + workMs,
        ownMs: workMs,
        targetLatencyMs: targetMs,
        elapsedMs: 0,
        remainingMs: REMAINING_MS / 2,
        priority,
        randomFraction: 0,
      });
      if (type !== 'admit') continue;
      if (waitMs + workMs <= targetMs) inTime += 1;
      waitMs += workMs / ENGINES;
    }
    waitMs = Math.max(0, waitMs - STEP_MS);
  }
  return { peak: Math.max(...peaks.values()), share: inTime / returns.length, meanMs };
};

t.test('2,000 refused requests do not return together or to a full queue', async (t2) => {
  for (const seed of [1, 2, 3]) {
    const results = {
      constant: simulateReturn('constant', seed),
      jitter: simulateReturn('jitter', seed),
    };
    const { peak, share, meanMs } = simulateReturn('schedule', seed);
    t2.comment(
      `seed ${seed}: ${JSON.stringify({ ...results, schedule: { peak, share, meanMs } })}`,
    );
    t2.ok(peak < results.jitter.peak * 0.7, 'the peak is far lower than with jitter alone');
    t2.ok(
      share > Math.max(results.jitter.share, results.constant.share),
      'more are served in time',
    );
    t2.ok(share > 0.9, 'nearly all are served in time');
    t2.ok(meanMs[0]! < meanMs[1]! && meanMs[1]! < meanMs[2]!, 'urgent kinds return first');
  }
});

t.test(
  'a return is planned within a third of the time left, and then not at one moment',
  async (t2) => {
    const schedule = ReturnSchedule.create();
    const random = createRandom(4);
    const input = { priority: 1, drainMs: 5_000, workMs: 100, capacity: 0.5, remainingMs: 1_500 };
    const delays = Array.from({ length: 50 }, () =>
      schedule.plan({ ...input, randomFraction: random() }, 0),
    );
    t2.ok(Math.max(...delays) <= 500);
    t2.ok(Math.max(...delays) - Math.min(...delays) > 200);
  },
);
