import { createRandom } from '@lovagearch/common';
import t from 'tap';
import { MAX_HOLD_MS, RequestHold } from './index.js';

/** Time after a rejection from which the users' rule counts requests, and the number that it allows. */
const KNOWN_AFTER_MS = 500;
const ALLOWED_REQUESTS = 2;
const STEP_MS = 10;
const DURATION_MS = 30_000;
const MS_PER_SECOND = 1_000;

interface Rejection {
  readonly atMs: number;
  readonly endsAtMs: number;
}

interface Response {
  readonly arrivesAtMs: number;
  readonly forS: number | undefined;
}

/**
 * Simulates one node that sends to one endpoint, which rejects some requests and names a time with it.
 * Responses overtake each other. Returns the number of requests, and the most within one named time.
 */
const simulateNode = (demand: number, rejectedShare: number, seed: number) => {
  const random = createRandom(seed);
  const hold = RequestHold.create();
  const sendsMs: number[] = [];
  const rejections: Rejection[] = [];
  let inFlight: Response[] = [];
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
    for (const { arrivesAtMs, forS } of inFlight) {
      if (arrivesAtMs > nowMs) continue;
      hold.applyStatement(forS === undefined ? { type: 'none' } : { type: 'named', forS }, nowMs);
    }
    inFlight = inFlight.filter(({ arrivesAtMs }) => arrivesAtMs > nowMs);
    if (random() >= demand || hold.getEndMs(nowMs) !== undefined) continue;
    sendsMs.push(nowMs);
    const isRejected = random() < rejectedShare;
    const forS = isRejected ? random() * 4 : undefined;
    if (forS !== undefined)
      rejections.push({ atMs: nowMs, endsAtMs: nowMs + forS * MS_PER_SECOND });
    const delayMs = random() * (isRejected ? 100 : 2_000);
    inFlight.push({ arrivesAtMs: nowMs + delayMs, forS });
  }
  let mostInHold = 0;
  for (const { atMs, endsAtMs } of rejections) {
    const counted = sendsMs.filter((ms) => ms >= atMs + KNOWN_AFTER_MS && ms < endsAtMs).length;
    mostInHold = Math.max(mostInHold, counted);
  }
  return { sends: sendsMs.length, rejections: rejections.length, mostInHold };
};

// Guards against nodes that go on sending in the time that an endpoint named, and against holds without end.
t.test('nodes send nothing in the times that an endpoint names', async (t2) => {
  let rejections = 0;
  for (const demand of [0.02, 0.5, 1]) {
    for (const rejectedShare of [0.05, 0.5, 1]) {
      for (let seed = 1; seed <= 100; seed++) {
        const node = simulateNode(demand, rejectedShare, seed);
        rejections += node.rejections;
        const title = `demand ${demand}, rejected ${rejectedShare}, seed ${seed}`;
        if (node.mostInHold > ALLOWED_REQUESTS) t2.fail(`${title}: ${node.mostInHold} sends`);
        if (node.sends < 5) t2.fail(`${title}: the endpoint gets no requests any more`);
      }
    }
  }
  t2.ok(rejections > 0, `${rejections} rejections`);
});

t.test('no response shortens a hold', async (t2) => {
  const hold = RequestHold.create();
  t2.match(hold.applyStatement({ type: 'named', forS: 4 }, 0), { type: 'named', forS: 4 });
  // Guards against the responses to requests in flight, which succeed or name a shorter time.
  t2.equal(hold.applyStatement({ type: 'none' }, 100), undefined);
  t2.equal(hold.applyStatement({ type: 'named', forS: 1 }, 200), undefined);
  t2.equal(hold.applyStatement({ type: 'named', forS: 0 }, 200), undefined);
  t2.equal(hold.getEndMs(3_999), 4_000);
  t2.equal(hold.getEndMs(4_000), undefined, 'it ends by itself');
});

t.test('a burst of rejections is reported once, and a longer time again', async (t2) => {
  const hold = RequestHold.create();
  t2.ok(hold.applyStatement({ type: 'named', forS: 1 }, 0));
  for (let nowMs = 1; nowMs < 20; nowMs++)
    t2.equal(hold.applyStatement({ type: 'named', forS: 1 }, nowMs), undefined);
  t2.match(hold.applyStatement({ type: 'named', forS: 9 }, 20), { type: 'named', forS: 9 });
});

t.test('a time that is no number is reported once, and a long one is limited', async (t2) => {
  const hold = RequestHold.create();
  const invalid = { type: 'invalid', text: 'soon' } as const;
  t2.match(hold.applyStatement(invalid, 0), { type: 'rejected', text: 'soon' });
  t2.equal(hold.applyStatement(invalid, 1), undefined);
  t2.equal(hold.getEndMs(1), undefined);
  t2.equal(hold.applyStatement({ type: 'named', forS: 0 }, 1), undefined, 'no time is no hold');
  hold.applyStatement({ type: 'named', forS: 999_999_999 }, 1);
  t2.equal(hold.getEndMs(1), 1 + MAX_HOLD_MS);
});
