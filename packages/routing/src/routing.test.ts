import t from 'tap';
import { createRandom } from '@lovagearch/common';
import { chooseRunner, type RoutingInput } from './chooseRunner.js';
import { LinkBudget } from './linkBudget.js';
import { UnreportedLoadTracker } from './unreportedLoadTracker.js';
import type { RunnerState } from './types.js';

const SEED = 7;

const createRunner = (id: string, overrides: Partial<RunnerState> = {}): RunnerState => ({
  id,
  region: 'south',
  zone: 'chiayi',
  queuedPromptTokens: 0,
  activeSequences: 0,
  ...overrides,
});

const createInput = (overrides: Partial<RoutingInput>): RoutingInput => ({
  request: {
    promptTokens: 4_096,
    promptBytes: 16_384,
    maxTokens: 100,
    region: 'south',
    zone: 'chiayi',
  },
  runners: [],
  prefixes: [],
  speeds: {
    prefillTokensPerSecond: 8_000,
    kvBytesPerToken: 1_024,
    storeBytesPerSecond: 50_000_000,
  },
  policy: { type: 'cost', weights: { ttftWeight: 1, recomputeWeight: 0.05, linkWeight: 0.001 } },
  hasLinkBudget: true,
  random: createRandom(SEED),
  sequence: 0,
  affinityKey: 'k',
  ...overrides,
});

t.test('a runner with a cached prefix is preferred until its queue costs more', async (t2) => {
  const prefixes = [{ kind: 'runner', holder: 'a', region: 'south', depth: 60 } as const];
  const runners = [createRunner('a', { queuedPromptTokens: 1_000 }), createRunner('b')];
  t2.equal(chooseRunner(createInput({ runners, prefixes }))[0]?.runner, 'a');
  const busy = [createRunner('a', { queuedPromptTokens: 20_000 }), createRunner('b')];
  t2.equal(chooseRunner(createInput({ runners: busy, prefixes }))[0]?.runner, 'b');
});

t.test('a prefix is imported only if that is faster than recomputing', async (t2) => {
  const prefixes = [{ kind: 'store', holder: 's', region: 'south', depth: 60 } as const];
  const runners = [createRunner('a')];
  t2.equal(chooseRunner(createInput({ runners, prefixes }))[0]?.importFrom, 's');
  const slow = { prefillTokensPerSecond: 8_000, kvBytesPerToken: 1_024, storeBytesPerSecond: 1e6 };
  const [choice] = chooseRunner(createInput({ runners, prefixes, speeds: slow }));
  t2.equal(choice?.importFrom, undefined);
});

t.test('a runner that may have evicted the prefix gets a store VM as fallback', async (t2) => {
  const prefixes = [
    { kind: 'runner', holder: 'a', region: 'south', depth: 60 },
    { kind: 'store', holder: 's', region: 'south', depth: 60 },
  ] as const;
  const [choice] = chooseRunner(createInput({ runners: [createRunner('a')], prefixes }));
  t2.same([choice?.importFrom, choice?.fallbackStore], [undefined, 's']);
});

t.test(
  'a request goes to the region of its cached prefix, as KV blocks do not cross regions',
  async (t2) => {
    const prefixes = [{ kind: 'store', holder: 's', region: 'north', depth: 64 } as const];
    const runners = [createRunner('a'), createRunner('n', { region: 'north', zone: 'taoyuan' })];
    const [choice] = chooseRunner(createInput({ runners, prefixes }));
    t2.same([choice?.runner, choice?.importFrom], ['n', 's']);
    const [closed] = chooseRunner(createInput({ runners, prefixes, hasLinkBudget: false }));
    t2.same([closed?.runner, closed?.importFrom], ['a', undefined]);
  },
);

t.test('a prompt does not wait for a full batch while another runner has a slot', async (t2) => {
  const prefixes = [{ kind: 'runner', holder: 'a', region: 'south', depth: 40 } as const];
  const runners = [createRunner('a', { activeSequences: 16 }), createRunner('b')];
  t2.equal(chooseRunner(createInput({ runners, prefixes }))[0]?.runner, 'b');
  const free = [createRunner('a', { activeSequences: 12 }), createRunner('b')];
  t2.equal(chooseRunner(createInput({ runners: free, prefixes }))[0]?.runner, 'a');
});

t.test('nodes with equal views do not all choose the same runner', async (t2) => {
  const runners = Array.from({ length: 40 }, (_, index) => createRunner(`r${index}`));
  const counts = new Map<string, number>();
  const random = createRandom(SEED);
  for (let node = 0; node < 400; node++) {
    const [choice] = chooseRunner(createInput({ runners, random }));
    counts.set(choice!.runner, (counts.get(choice!.runner) ?? 0) + 1);
  }
  t2.ok(Math.max(...counts.values()) < 40, `seed ${SEED}`);
});

t.test('sent work counts until a newer load report arrives', async (t2) => {
  const tracker = UnreportedLoadTracker.create();
  tracker.recordSent('a', 500, 1_000);
  t2.equal(tracker.getUnreportedTokens('a', 200, 1_100), 500);
  t2.equal(tracker.getUnreportedTokens('a', 50, 1_100), 0);
});

t.test('background requests are refused the link before interactive ones', async (t2) => {
  const budget = LinkBudget.create(1_000, 0);
  budget.take(1_200, 0);
  t2.notOk(budget.hasRoom('background', 100, 0));
  t2.ok(budget.hasRoom('standard', 100, 0));
  budget.take(600, 0);
  t2.notOk(budget.hasRoom('standard', 100, 0));
  t2.ok(budget.hasRoom('interactive', 100, 0));
  t2.ok(budget.hasRoom('background', 100, 2_000), 'the budget refills over time');
});
