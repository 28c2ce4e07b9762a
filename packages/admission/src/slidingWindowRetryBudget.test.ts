import { createRandom } from '@lovagearch/common';
import t from 'tap';
import { SlidingWindowRetryBudget } from './slidingWindowRetryBudget.js';

const LIMITS = { ratio: 0.2, slack: 58, windowS: 10 };
const WINDOW_MS = 10_000;
const NODES = 9;

/** Returns a burst between 20 s and 30 s, followed by 10 s without requests. */
const getRequestProbability = (nowMs: number): number => {
  if (nowMs < 20_000) return 0.3;
  if (nowMs < 30_000) return 1;
  return nowMs < 40_000 ? 0 : 0.2;
};

t.test(
  'retries of all nodes stay within the limit in every window when all requests fail',
  async (t2) => {
    for (let seed = 1; seed <= 20; seed++) {
      const random = createRandom(seed);
      const nodes = Array.from({ length: NODES }, () => SlidingWindowRetryBudget.create(LIMITS));
      const requests: number[] = [];
      const retries: number[] = [];
      for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
        if (random() >= getRequestProbability(nowMs)) continue;
        const node = nodes[Math.floor(random() * NODES)]!;
        node.recordRequest(nowMs);
        requests.push(nowMs);
        if (node.tryTake(NODES, nowMs)) retries.push(nowMs);
      }
      for (let endMs = WINDOW_MS; endMs <= 60_000; endMs += 100) {
        const isInWindow = (atMs: number) => atMs > endMs - WINDOW_MS && atMs <= endMs;
        // The limit is based on this window or the previous one, whichever has more requests.
        const isInPreviousWindow = (atMs: number) => isInWindow(atMs + WINDOW_MS);
        const requestCount = Math.max(
          requests.filter(isInWindow).length,
          requests.filter(isInPreviousWindow).length,
        );
        const maxRetries = requestCount * LIMITS.ratio + LIMITS.slack;
        t2.ok(
          retries.filter(isInWindow).length <= maxRetries,
          `seed ${seed}: window ending at ${endMs} ms`,
        );
      }
    }
  },
);

t.test('a node without requests may use its even share of the slack', async (t2) => {
  const budget = SlidingWindowRetryBudget.create(LIMITS);
  let taken = 0;
  while (budget.tryTake(NODES, 0)) taken += 1;
  t2.ok(taken > 0 && taken <= LIMITS.slack / NODES);
  t2.equal(budget.hasRetry(NODES, WINDOW_MS), false);
  t2.equal(budget.hasRetry(NODES, WINDOW_MS + WINDOW_MS / 10), true);
});
