import t from 'tap';
import { decideRelay } from './index.js';

const UNSENT = {
  isRelayed: false,
  hasResponseStarted: false,
  sends: 0,
  maxSends: 3,
  runs: 0,
  maxRuns: 2,
  isRetryable: true,
  hasRetryBudget: true,
} as const;
const END = { type: 'end' };

// Guards against requests that travel between nodes without links, and against two responses to one caller.
t.test('a request goes one hop, and only before its response', async (t2) => {
  t2.same(decideRelay(UNSENT), { type: 'relay', isRetry: false });
  t2.same(decideRelay({ ...UNSENT, hasRetryBudget: false }), { type: 'relay', isRetry: false });
  t2.same(decideRelay({ ...UNSENT, isRelayed: true }), END);
  t2.same(decideRelay({ ...UNSENT, hasResponseStarted: true }), END);
});

// Guards against retries through peers that no budget counts, after endpoints have rejected the request.
t.test('a request that an endpoint received takes a retry', async (t2) => {
  const rejected = { ...UNSENT, sends: 1 };
  t2.same(decideRelay(rejected), { type: 'relay', isRetry: true });
  t2.same(decideRelay({ ...rejected, isRetryable: false }), { type: 'relay', isRetry: true });
  t2.same(decideRelay({ ...rejected, hasRetryBudget: false }), END);
  t2.same(decideRelay({ ...rejected, sends: 3 }), END);
});

// Guards against a call that runs twice, and a request that runs on more endpoints than its route allows.
t.test('a request that may have run goes on only if it may run again', async (t2) => {
  const run = { ...UNSENT, sends: 1, runs: 1 };
  t2.same(decideRelay(run), { type: 'relay', isRetry: true });
  t2.same(decideRelay({ ...run, isRetryable: false }), END);
  t2.same(decideRelay({ ...run, sends: 2, runs: 2 }), END);
});
