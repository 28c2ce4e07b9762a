import fc from 'fast-check';
import t from 'tap';
import { createRandom, toId, type AccountId, type NodeId } from '@lovagearch/common';
import { computeAccountShare } from './accountShares.js';
import {
  DEMAND_BYTES_PER_SECOND,
  DEMAND_MAX_AGE_MS,
  DEMAND_ROW_BYTES,
  MAX_QUEUED_PER_ACCOUNT,
  QUANTUM_TOKENS_PER_ROUND,
} from './constants.js';
import { computeDemandIntervalMs, computeMaxDemandRows, DemandTable } from './demandTable.js';
import { FairQueue } from './fairQueue.js';
import { estimateQueueWaitMs, decideLoadShedding } from './loadShedding.js';
import { RetryBudget, tryTakeBoth } from './retryBudget.js';
import { TokenBucket } from './tokenBucket.js';
import { QUEUE_CLASSES, type QueueClass, type QueueItem } from './types.js';

const createItem = (account: string, cost: number, queueClass: QueueClass): QueueItem => ({
  id: account,
  account: toId<AccountId>(account),
  queueClass,
  cost,
});

t.test('two large accounts do not starve small ones', async (t2) => {
  fc.assert(
    fc.property(fc.integer(), (seed) => {
      const random = createRandom(seed);
      const queue = FairQueue.create<QueueItem>();
      for (let index = 0; index < 1_000; index++) {
        queue.add(createItem('large-1', 1 + random() * 8_000, 'standard'));
        queue.add(createItem('large-2', 1 + random() * 8_000, 'standard'));
      }
      const small = Array.from({ length: 8 }, (_, index) => toId<AccountId>(`small-${index}`));
      for (const account of small) queue.add(createItem(account, 1_000, 'standard'));
      const waiting = new Set(small);
      let work = 0;
      while (waiting.size > 0) {
        const item = queue.take(() => true);
        if (item === undefined)
          throw new Error(`seed ${seed}: ${waiting.size} small accounts wait`);
        waiting.delete(item.account);
        work += item.cost;
      }
      // A request of 1,000 tokens runs in the second round, after two quanta of each large account.
      if (work > 8 * 1_000 + 2 * 2 * QUANTUM_TOKENS_PER_ROUND)
        throw new Error(`seed ${seed}: work ${work}`);
    }),
  );
  t2.pass();
});

t.test('backlogged accounts get equal throughput, whatever their request sizes', async (t2) => {
  const seed = 11;
  const random = createRandom(seed);
  const queue = FairQueue.create<QueueItem>();
  const work = new Map<string, number>([
    ['long', 0],
    ['short', 0],
  ]);
  for (let index = 0; index < 4_000; index++) {
    queue.add(createItem('long', 2_000 + random() * 4_000, 'standard'));
    queue.add(createItem('short', 100 + random() * 900, 'standard'));
    const item = queue.take(() => true);
    if (item) work.set(item.account, work.get(item.account)! + item.cost);
  }
  const ratio = work.get('long')! / work.get('short')!;
  t2.ok(ratio > 0.9 && ratio < 1.1, `seed ${seed}: ratio ${ratio}`);
});

t.test('interactive requests do not starve the lower classes', async (t2) => {
  const queue = FairQueue.create<QueueItem>();
  const served: Record<QueueClass, number> = { interactive: 0, standard: 0, background: 0 };
  for (let index = 0; index < 1_000; index++) {
    for (const name of QUEUE_CLASSES) queue.add(createItem('a', 64, name));
    served[queue.take(() => true)!.queueClass]++;
  }
  t2.same(served, { interactive: 900, standard: 50, background: 50 });
});

t.test('a blocked account does not hold up the others, and queues are bounded', async (t2) => {
  const queue = FairQueue.create<QueueItem>();
  let added = 0;
  while (queue.add(createItem('blocked', 1, 'standard'))) added++;
  t2.equal(added, MAX_QUEUED_PER_ACCOUNT);
  queue.add(createItem('free', 9_000, 'standard'));
  t2.equal(queue.take(({ account }) => account !== 'blocked')?.account, 'free');
  t2.equal(
    queue.take(({ account }) => account !== 'blocked'),
    undefined,
  );
});

t.test('with recent reports, node shares exceed the limit by at most a quarter', async (t2) => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 1_000 }), { minLength: 1 }), (demands) => {
      const shares = demands.map((ownDemand, index) =>
        computeAccountShare({
          limit: 100,
          liveNodes: demands.length,
          ownDemand,
          peerDemands: demands
            .filter((_, at) => at !== index)
            .map((demand) => ({ demand, ageMs: 0 })),
          hasRecentPeerReports: true,
        }),
      );
      const total = shares.reduce((sum, share) => sum + share, 0);
      // The minimum shares, a quarter of an even share each, can exceed the limit by a quarter.
      return total >= 99.9 && total <= 125.1;
    }),
  );
  const withoutPeerReports = {
    limit: 100,
    liveNodes: 4,
    ownDemand: 90,
    peerDemands: [],
    hasRecentPeerReports: false,
  };
  t2.equal(
    computeAccountShare(withoutPeerReports),
    25,
    'without peer reports a node gets the even share',
  );
});

t.test('demand messages stay within their share of the control traffic budget', async (t2) => {
  for (let nodes = 2; nodes <= 60; nodes++) {
    t2.ok(
      3 * computeDemandIntervalMs(nodes) < DEMAND_MAX_AGE_MS,
      'two lost messages do not expire a report',
    );
    const bytes = (nodes - 1) * (computeMaxDemandRows(nodes) + 1) * DEMAND_ROW_BYTES;
    const perSecond = bytes / (computeDemandIntervalMs(nodes) / 1_000);
    t2.ok(perSecond <= DEMAND_BYTES_PER_SECOND + 0.001, `${nodes} nodes: ${perSecond} B/s`);
  }
});

t.test('reports expire, and the demand of nodes that left is ignored', async (t2) => {
  const table = DemandTable.create();
  const [account, node] = [toId<AccountId>('a'), toId<NodeId>('n')];
  table.update(node, [{ account, tokensPerSecond: 5, concurrent: 1 }], 0);
  t2.ok(table.hasRecentReports([node], DEMAND_MAX_AGE_MS));
  t2.notOk(table.hasRecentReports([node], DEMAND_MAX_AGE_MS + 1));
  t2.same(
    table.listDemands(account, 'concurrent', [], 0),
    [],
    'the demand of a node that left is ignored',
  );
});

t.test(
  'lower classes are refused first, with a retry-after delay for the excess wait',
  async (t2) => {
    const decisions = QUEUE_CLASSES.map((name) => decideLoadShedding(name, 8_000, 10_000).type);
    t2.same(decisions, ['accept', 'refuse', 'refuse']);
    t2.match(decideLoadShedding('standard', 8_000, 10_000), { retryAfterMs: 1_000 });
    const depths = { interactive: 10, standard: 500, background: 900 };
    const input = { depths, accountDepth: 0, completionsPerSecond: 10, endpointQueueMs: 0 };
    const waitMs = estimateQueueWaitMs({ ...input, queueClass: 'standard', accountCount: 5 });
    t2.equal(
      waitMs,
      1_500,
      'a new account waits for one request of each of five accounts, not for all 500',
    );
  },
);

t.test(
  'retries stay near a tenth of the requests, and an idle account has a minimum',
  async (t2) => {
    const [account, system] = [RetryBudget.create(0), RetryBudget.create(0)];
    let taken = 0;
    for (let index = 0; index < 10_000; index++) {
      account.recordRequest();
      system.recordRequest();
      if (tryTakeBoth(account, system, index)) taken++;
    }
    t2.ok(taken >= 1_000 && taken <= 1_010, `${taken} of 10,000`);
    const idle = RetryBudget.create(0);
    t2.ok(idle.tryTake(0) && idle.tryTake(0) && idle.tryTake(0));
    t2.notOk(idle.tryTake(0));
    t2.ok(idle.tryTake(10_000));
  },
);

t.test('a request larger than the burst capacity is delayed, not refused for good', async (t2) => {
  const bucket = TokenBucket.create(100, 0);
  t2.ok(bucket.tryTake(1_000, 0));
  t2.equal(bucket.computeWaitMs(100, 0), 9_000);
  t2.notOk(bucket.tryTake(100, 8_999));
  t2.ok(bucket.tryTake(100, 9_000));
});
