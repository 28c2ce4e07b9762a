import t from 'tap';
import { checkBounds, type BenchResult } from './benchBounds.js';
import { RecomputeFloor } from './benchFloor.js';
import { computeMeasures, computePercentiles } from './benchMeasures.js';
import { createWorkload, type PlannedPrompt } from './benchWorkload.js';

const WORKLOAD = {
  seed: 3,
  regions: ['south', 'north'],
  warmUpMs: 4_000,
  measuredMs: 4_000,
  requestsPerSecond: 10,
  gapMs: 2_000,
};

const isPrompt = (request: { readonly type: string }): request is PlannedPrompt =>
  request.type === 'prompt';

t.test('two policies never get different requests', async (t2) => {
  t2.same(createWorkload(WORKLOAD), createWorkload(WORKLOAD));
  t2.notSame(createWorkload(WORKLOAD), createWorkload({ ...WORKLOAD, seed: 4 }));
});

t.test('the floor counts a block once for each account', async (t2) => {
  const prompt = createWorkload(WORKLOAD).find(isPrompt)!;
  const floor = RecomputeFloor.create();
  const tokens = Math.ceil(prompt.prompt.length / 4);
  t2.equal(floor.record(prompt, 'model'), tokens);
  t2.equal(floor.record(prompt, 'model'), Math.max(1, tokens % 64));
  t2.equal(floor.record({ ...prompt, account: 'another' }, 'model'), tokens);
});

t.test(
  'an answer that ends after the load is not goodput, and a missing one is lost',
  async (t2) => {
    const planned = createWorkload(WORKLOAD).filter(isPrompt).at(-1)!;
    const result = {
      status: 200,
      requestId: 'r',
      text: 'x',
      isComplete: true,
      lastEventId: '',
      usage: undefined,
      failure: undefined,
      doneCount: 1,
      ttftMs: 10,
      gapsMs: [],
    };
    const outcome = { type: 'prompt', planned, floorTokens: 1, isRight: true } as const;
    const measures = computeMeasures({
      prompts: [
        { ...outcome, result, endedAtMs: 7_000 },
        { ...outcome, result, endedAtMs: 9_000 },
        { ...outcome, result: undefined, endedAtMs: 5_000 },
      ],
      calls: [],
      repeatedRuns: 0,
      linkBytes: 0,
      entrySeconds: 0,
      warmUpMs: WORKLOAD.warmUpMs,
      measuredMs: WORKLOAD.measuredMs,
    });
    t2.same([measures.goodputPerSecond, measures.lost, measures.completed], [0.25, 1, 2]);
    const run = {
      deployment: 'd',
      scenario: 'design',
      policy: 'cost',
      requestsPerSecond: 1,
    } as const;
    const results: BenchResult[] = [{ ...run, measures }];
    const lost = checkBounds(results, undefined).find(({ figure }) => figure === 'requests lost');
    t2.equal(lost?.verdict, 'not met');
  },
);

t.test('a percentile is a value that occurred', async (t2) => {
  const { p50, p95, p99 } = computePercentiles([4, 1, 3, 2]);
  t2.same([p50, p95, p99], [2, 4, 4]);
  t2.equal(computePercentiles([]).p95, 0);
});
