import t from 'tap';
import { decideFirstEventWait, type FirstEventWaitInput, type MoveOption } from './index.js';

const STALL_MS = 1_200;
const POSSIBLE: MoveOption = { type: 'possible', expectedMs: 150 };
const BLOCKED: MoveOption = { type: 'blocked', reason: 'retry budget used up' };

const decide = (changes: Partial<FirstEventWaitInput>, move: MoveOption = POSSIBLE) =>
  decideFirstEventWait({
    silentMs: STALL_MS,
    peerResponseAgeMs: Number.POSITIVE_INFINITY,
    stallTimeoutMs: STALL_MS,
    remainingMs: 300,
    ownMs: 96,
    findMove: () => move,
    ...changes,
  });

// Guards against requests that wait for a frozen endpoint until their callers give up.
t.test('a silent endpoint is left after the stall limit, and not before', async (t2) => {
  t2.strictSame(decide({}), { type: 'withdraw', reason: 'silent' });
  t2.strictSame(decide({ peerResponseAgeMs: STALL_MS }), { type: 'withdraw', reason: 'silent' });
  t2.match(decide({ silentMs: STALL_MS - 1 }), { type: 'stay', recheckMs: 1 });
});

// Guards against the 155 requests of one day that were withdrawn from two engines in turn and failed.
t.test('a request in the queue of an engine that answers a peer stays there', async (t2) => {
  for (const peerResponseAgeMs of [0, 700, STALL_MS - 1])
    t2.match(decide({ peerResponseAgeMs }), { type: 'stay', reason: 'peer_responses' });
});

t.test('a queued request moves if another engine is earlier by more than the cost', async (t2) => {
  // 150 ms there, 96 ms of lost work and the margin of 200 ms.
  t2.match(decide({ peerResponseAgeMs: 100, remainingMs: 446 }), { type: 'stay' });
  t2.strictSame(decide({ peerResponseAgeMs: 100, remainingMs: 447 }), {
    type: 'withdraw',
    reason: 'earlier_elsewhere',
  });
});

// Guards against requests that fail with seconds of their time left although their engine would still answer.
t.test('a request that can not be sent elsewhere stays', async (t2) => {
  for (const peerResponseAgeMs of [100, Number.POSITIVE_INFINITY]) {
    const decision = decide({ peerResponseAgeMs, remainingMs: 5_000 }, BLOCKED);
    t2.match(decision, { type: 'stay', reason: 'retry budget used up' });
    t2.equal(decision.type === 'stay' && decision.isSilent, peerResponseAgeMs > STALL_MS);
  }
});
