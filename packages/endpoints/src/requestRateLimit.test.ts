import { createRandom } from '@lovagearch/common';
import t from 'tap';
import { computeRateShare, RequestRateLimit } from './index.js';

/** Window, tolerance and slack of the users' rule on named limits. */
const WINDOW_MS = 4_000;
const LIMIT_TOLERANCE = 1.5;
const LIMIT_SLACK = 5;
const MS_PER_SECOND = 1_000;
const STEP_MS = 20;
const DURATION_MS = 60_000;
const FREEZE_MS = 5_000;
/** Time after the first naming from which the rule holds. */
const CONTACT_LIMIT_MS = 3_000;

interface Load {
  readonly nodeCount: number;
  readonly limitPerS: number;
  /** Probability per step that a node restarts, after which it has to receive the limit again. */
  readonly restarts?: number;
  /** Probability per step that a node freezes, or is cut off, for some seconds. */
  readonly freezes?: number;
  /** Probability per step that a node has a request for the endpoint; bursts alternate with silence. */
  readonly demand: number;
}

/**
 * Simulates nodes that send to one endpoint, which names its limit in each response. Returns the times of the
 * sends to which the rule applies: those of nodes that had received the limit before.
 */
const simulateSends = (
  { nodeCount, limitPerS, demand, restarts = 0, freezes = 0 }: Load,
  seed: number,
): number[] => {
  const random = createRandom(seed);
  const names = Array.from({ length: nodeCount }, (_, index) => `edge-${index}`);
  const nodes = names.map((name) => ({ share: computeRateShare(limitPerS, 'i-1', name, names) }));
  const limits = nodes.map(() => RequestRateLimit.create());
  const frozenUntilMs = nodes.map(() => 0);
  const informedNodes = new Set<RequestRateLimit>();
  const sendsMs: number[] = [];
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
    // All nodes fall silent and return together, so that unused allowances would add up.
    const isSilent = Math.floor(nowMs / 10_000) % 2 === 1;
    for (const [index, { share }] of nodes.entries()) {
      if (restarts > 0 && random() < restarts) limits[index] = RequestRateLimit.create();
      if (freezes > 0 && random() < freezes) frozenUntilMs[index] = nowMs + FREEZE_MS;
      if (nowMs < (frozenUntilMs[index] ?? 0)) continue;
      const limit = limits[index] ?? RequestRateLimit.create();
      if (isSilent || random() >= demand) continue;
      if (!limit.canSend(share, nowMs, random)) continue;
      limit.recordSent(share, nowMs);
      if (informedNodes.has(limit) && nowMs >= CONTACT_LIMIT_MS) sendsMs.push(nowMs);
      informedNodes.add(limit);
      limit.applyStatement({ type: 'named', requestsPerS: limitPerS }, nowMs, nowMs);
    }
  }
  return sendsMs;
};

const countBusiestWindow = (sendsMs: readonly number[]): number => {
  let most = 0;
  let first = 0;
  for (const [index, sentMs] of sendsMs.entries()) {
    while (sentMs - (sendsMs[first] ?? sentMs) >= WINDOW_MS) first += 1;
    most = Math.max(most, index - first + 1);
  }
  return most;
};

// Guards against nodes that each keep to the limit while their sum exceeds it.
for (const { nodeCount, seeds } of [
  { nodeCount: 1, seeds: 20 },
  { nodeCount: 9, seeds: 20 },
  { nodeCount: 75, seeds: 10 },
  { nodeCount: 350, seeds: 3 },
]) {
  t.test(`${nodeCount} nodes together keep to the limit that an endpoint names`, async (t2) => {
    for (const limitPerS of [0, 0.3, 1, 1.7, 2.3, 5.9, 20, 80]) {
      for (const demand of [0.02, 0.5]) {
        for (let seed = 1; seed <= seeds; seed++) {
          const sends = simulateSends({ nodeCount, limitPerS, demand }, seed);
          const allowed = LIMIT_TOLERANCE * limitPerS * (WINDOW_MS / MS_PER_SECOND) + LIMIT_SLACK;
          const busiest = countBusiestWindow(sends);
          if (busiest > allowed)
            t2.fail(`limit ${limitPerS}, demand ${demand}, seed ${seed}: ${busiest} of ${allowed}`);
        }
      }
      // Guards against a limit of which the nodes use only a part, which would refuse callers needlessly.
      const busySends = simulateSends({ nodeCount, limitPerS, demand: 0.5 }, 1).length;
      const busyS = (DURATION_MS / 2 - CONTACT_LIMIT_MS) / MS_PER_SECOND;
      const demandPerS = (0.5 * nodeCount * MS_PER_SECOND) / STEP_MS;
      const usable = Math.min(limitPerS, demandPerS) * busyS;
      t2.ok(busySends >= 0.7 * usable, `limit ${limitPerS}: ${busySends} of ${usable} sends`);
    }
  });
}

// Guards against nodes that wait for a disturbed one, or exceed the limit in its place or as it returns.
for (const { title, disturbance } of [
  {
    title: 'the other nodes keep to a limit while nodes restart',
    disturbance: { restarts: 0.001 },
  },
  { title: 'nodes keep to a limit while some of them freeze', disturbance: { freezes: 0.002 } },
]) {
  t.test(title, async (t2) => {
    for (const limitPerS of [1, 2.3, 5.9]) {
      const allowed = LIMIT_TOLERANCE * limitPerS * (WINDOW_MS / MS_PER_SECOND) + LIMIT_SLACK;
      for (let seed = 1; seed <= 20; seed++) {
        const load = { nodeCount: 9, limitPerS, demand: 0.5, ...disturbance };
        const busiest = countBusiestWindow(simulateSends(load, seed));
        t2.ok(busiest <= allowed, `limit ${limitPerS}, seed ${seed}: ${busiest} of ${allowed}`);
      }
    }
  });
}

t.test('a limit holds until a later response does not name it', async (t2) => {
  const random = () => 0.5;
  const limit = RequestRateLimit.create();
  const share = computeRateShare(0.1, 'i-1', 'a', ['a']);
  t2.ok(limit.canSend(share, 0, random));
  t2.match(limit.applyStatement({ type: 'named', requestsPerS: 0.1 }, 0, 100), { type: 'named' });
  t2.notOk(limit.canSend(share, 100, random));
  // Guards against a response that was overtaken by the one that named the limit.
  t2.equal(limit.applyStatement({ type: 'none' }, 50, 200), undefined);
  t2.notOk(limit.canSend(share, 200, random));
  t2.match(limit.applyStatement({ type: 'none' }, 300, 400), { type: 'lifted' });
  t2.ok(limit.canSend(share, 400, random));
});

t.test('a limit that is no number changes nothing and is reported once', async (t2) => {
  const limit = RequestRateLimit.create();
  limit.applyStatement({ type: 'named', requestsPerS: 2 }, 0, 0);
  t2.match(limit.applyStatement({ type: 'invalid', text: 'x' }, 1, 1), { type: 'rejected' });
  t2.equal(limit.applyStatement({ type: 'invalid', text: 'x' }, 2, 2), undefined);
  t2.equal(limit.limitPerS, 2);
});

// Guards against a raised limit that takes effect only after the interval of the lower one.
t.test('a raised limit takes effect at once', async (t2) => {
  const limit = RequestRateLimit.create();
  limit.applyStatement({ type: 'named', requestsPerS: 0.1 }, 0, 0);
  limit.recordSent(computeRateShare(0.1, 'i-1', 'a', ['a']), 0);
  limit.applyStatement({ type: 'named', requestsPerS: 10 }, 0, 100);
  t2.ok(limit.canSend(computeRateShare(10, 'i-1', 'a', ['a']), 200, () => 0.5) === false);
  t2.ok(limit.canSend(computeRateShare(10, 'i-1', 'a', ['a']), 300, () => 0.5));
});

// Guards against nodes that each send once more at the pace of a higher limit.
t.test('a lowered limit takes effect at once', async (t2) => {
  const names = Array.from({ length: 83 }, (_, index) => `edge-${index}`);
  const random = createRandom(1);
  const lowerPerS = 1.5;
  let sends = 0;
  for (const name of names) {
    const limit = RequestRateLimit.create();
    const higherShare = computeRateShare(100, 'i-1', name, names);
    limit.applyStatement({ type: 'named', requestsPerS: 100 }, 0, 0);
    limit.canSend(higherShare, 0, random);
    limit.recordSent(higherShare, 0);
    limit.applyStatement({ type: 'named', requestsPerS: lowerPerS }, 0, 0);
    const share = computeRateShare(lowerPerS, 'i-1', name, names);
    for (let nowMs = 0; nowMs < WINDOW_MS; nowMs += STEP_MS) {
      if (!limit.canSend(share, nowMs, random)) continue;
      limit.recordSent(share, nowMs);
      sends += 1;
    }
  }
  const allowed = LIMIT_TOLERANCE * lowerPerS * (WINDOW_MS / MS_PER_SECOND) + LIMIT_SLACK;
  t2.ok(sends <= allowed, `${sends} of ${allowed}`);
});

// Guards against nodes outside the sharing ones that avoid an endpoint long after its limit was lifted.
t.test('every node sends to a limited endpoint from time to time', async (t2) => {
  const random = createRandom(1);
  const names = Array.from({ length: 9 }, (_, index) => `edge-${index}`);
  for (const name of names) {
    const limit = RequestRateLimit.create();
    const share = computeRateShare(2.3, 'i-1', name, names);
    limit.applyStatement({ type: 'named', requestsPerS: 2.3 }, 0, 0);
    let sends = 0;
    for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
      if (!limit.canSend(share, nowMs, random)) continue;
      limit.recordSent(share, nowMs);
      sends += 1;
    }
    t2.ok(sends > 0, `${name}: ${share.type}, ${sends} sends in ${DURATION_MS} ms`);
  }
});

// Guards against an operator's question that uses up the probe by which a node notices a lifted limit.
t.test('a question on a copy does not change when the next request may be sent', async (t2) => {
  for (const limitPerS of [0.1, 2]) {
    const listSends = (hasQuestions: boolean): number[] => {
      const random = createRandom(7);
      const names = Array.from({ length: 40 }, (_, index) => `edge-${index}`);
      const share = computeRateShare(limitPerS, 'i-1', 'edge-3', names);
      const limit = RequestRateLimit.create();
      limit.applyStatement({ type: 'named', requestsPerS: limitPerS }, 0, 0);
      const sends: number[] = [];
      for (let nowMs = 0; nowMs < 600_000; nowMs += 100) {
        if (hasQuestions) limit.createCopy().canSend(share, nowMs, createRandom(nowMs));
        if (nowMs % 300 !== 0 || !limit.canSend(share, nowMs, random)) continue;
        limit.recordSent(share, nowMs);
        sends.push(nowMs);
      }
      return sends;
    };
    t2.strictSame(listSends(true), listSends(false), `${limitPerS} per second`);
    t2.ok(listSends(false).length > 0);
  }
});
