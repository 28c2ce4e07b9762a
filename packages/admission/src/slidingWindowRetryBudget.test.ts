import { createRandom } from '@lovagearch/common';
import t from 'tap';
import { SlidingWindowRetryBudget } from './slidingWindowRetryBudget.js';

const BOUNDS = { ratio: 0.2, slack: 58, windowS: 10 };
const WINDOW_MS = 10_000;
const NODES = 9;

/** A burst between 20 s and 30 s, and nothing for a while after it. */
const getRequestProbability = (nowMs: number): number => {
  if (nowMs < 20_000) return 0.3;
  if (nowMs < 30_000) return 1;
  return nowMs < 40_000 ? 0 : 0.2;
};

t.test(
  'repeats of all nodes stay within the bound in every window when all requests fail',
  async (t2) => {
    for (let seed = 1; seed <= 20; seed++) {
      const random = createRandom(seed);
      const nodes = Array.from({ length: NODES }, () => SlidingWindowRetryBudget.create(BOUNDS));
      const requests: number[] = [];
      const repeats: number[] = [];
      for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
        if (random() >= getRequestProbability(nowMs)) continue;
        const node = nodes[Math.floor(random() * NODES)]!;
        node.recordRequest(nowMs);
        requests.push(nowMs);
        if (node.tryTake(NODES, nowMs)) repeats.push(nowMs);
      }
      for (let endMs = WINDOW_MS; endMs <= 60_000; endMs += 100) {
        const isIn = (atMs: number) => atMs > endMs - WINDOW_MS && atMs <= endMs;
        // The bound counts the requests of the window or of the one before it, whichever are more.
        const isBefore = (atMs: number) => isIn(atMs + WINDOW_MS);
        const counted = Math.max(requests.filter(isIn).length, requests.filter(isBefore).length);
        const bound = counted * BOUNDS.ratio + BOUNDS.slack;
        t2.ok(repeats.filter(isIn).length <= bound, `seed ${seed} window to ${endMs}`);
      }
    }
  },
);

t.test('a quiet node may repeat its even part of the slack', async (t2) => {
  const budget = SlidingWindowRetryBudget.create(BOUNDS);
  let taken = 0;
  while (budget.tryTake(NODES, 0)) taken += 1;
  t2.ok(taken > 0 && taken <= BOUNDS.slack / NODES);
  t2.equal(budget.hasRetry(NODES, WINDOW_MS), false);
  t2.equal(budget.hasRetry(NODES, WINDOW_MS + WINDOW_MS / 10), true);
});
