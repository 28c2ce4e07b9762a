import t from 'tap';
import { decideAdmission, type AdmissionInput } from './decideAdmission.js';

const INPUT: AdmissionInput = {
  expectedMs: 100,
  ownMs: 50,
  targetLatencyMs: 800,
  elapsedMs: 0,
  remainingMs: 12_000,
  priority: 1,
  randomFraction: 0.5,
};

interface QueuedRequest {
  readonly arrivedMs: number;
  readonly workMs: number;
}

/** Simulates one engine at `load` times its capacity; returns the share of requests served in time. */
const simulateOverload = (load: number, hasAdmissionControl: boolean): number => {
  const workMs = 100;
  const queue: QueuedRequest[] = [];
  let busyUntilMs = 0;
  let offeredRequests = 0;
  let requestsInTime = 0;
  const targetMs = INPUT.targetLatencyMs;
  for (let nowMs = 0; nowMs < 60_000; nowMs += workMs / load) {
    while (busyUntilMs <= nowMs && queue.length > 0) {
      const { arrivedMs } = queue.shift()!;
      const startMs = Math.max(busyUntilMs, arrivedMs);
      busyUntilMs = startMs + workMs;
      if (busyUntilMs - arrivedMs <= targetMs) requestsInTime += 1;
    }
    offeredRequests += 1;
    const waitMs = Math.max(0, busyUntilMs - nowMs) + queue.length * workMs;
    const expectedMs = waitMs + workMs;
    const decision = decideAdmission({ ...INPUT, expectedMs, ownMs: workMs });
    if (!hasAdmissionControl || decision.type === 'admit') queue.push({ arrivedMs: nowMs, workMs });
  }
  for (const { arrivedMs } of queue) {
    busyUntilMs = Math.max(busyUntilMs, arrivedMs) + workMs;
    if (busyUntilMs - arrivedMs <= targetMs) requestsInTime += 1;
  }
  return requestsInTime / offeredRequests;
};

t.test('a sustained overload does not make every response late', async (t2) => {
  for (const load of [1.3, 2, 4]) {
    t2.ok(simulateOverload(load, true) > (1 / load) * 0.95, `load ${load} with admission control`);
    t2.ok(simulateOverload(load, false) < 0.2, `load ${load} without admission control`);
  }
});

t.test('no request is refused below capacity', async (t2) => {
  t2.equal(simulateOverload(0.95, true), 1);
});

t.test('the least urgent request is refused first', async (t2) => {
  const input = { ...INPUT, expectedMs: 750 };
  t2.equal(decideAdmission({ ...input, priority: 0 }).type, 'admit');
  t2.equal(decideAdmission({ ...input, priority: 2 }).type, 'refuse');
});

t.test('a request with a long processing time is admitted while the queue is short', async (t2) => {
  t2.equal(decideAdmission({ ...INPUT, expectedMs: 1_500, ownMs: 1_450 }).type, 'admit');
});

t.test(
  'a request that can not meet its deadline is refused early enough for a retry before it',
  async (t2) => {
    const decision = decideAdmission({ ...INPUT, expectedMs: 900, remainingMs: 600 });
    t2.equal(decision.type, 'refuse');
    if (decision.type === 'refuse') t2.ok(decision.retryAfterMs <= 200);
  },
);
