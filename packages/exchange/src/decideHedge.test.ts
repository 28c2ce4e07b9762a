import t from 'tap';
import {
  computeHedgeDelayMs,
  computeHedgeQuantile,
  decideHedge,
  type HedgeAlternative,
  type HedgeInput,
  type HedgeSkipReason,
} from './decideHedge.js';
import { LatenessDistribution } from './latenessDistribution.js';

const ALTERNATIVE: HedgeAlternative = { expectedMs: 60, waitMs: 5, queuedRequests: 0 };

/** One stream of 830 prompt tokens that is late at its endpoint, on a node with 20 requests in progress. */
const INPUT: HedgeInput<HedgeAlternative> = {
  isRepeatable: true,
  hasCallerLeft: false,
  hasResponseStarted: false,
  sends: 1,
  maxAttempts: 2,
  eventLoopDelayMs: 0,
  inProgress: { total: 20, late: 1, zones: 3, lateZones: 1 },
  hasShare: true,
  hasRetryBudget: true,
  isSuspect: () => false,
  findAlternative: () => ALTERNATIVE,
  targetLatencyMs: 408,
  remainingMs: 5_000,
};

t.test('one late stream at a calm load is hedged', async (t2) => {
  t2.strictSame(decideHedge(INPUT), { type: 'hedge', alternative: ALTERNATIVE });
  const fewLate = { total: 20, late: 3, zones: 3, lateZones: 2 };
  t2.equal(decideHedge({ ...INPUT, inProgress: fewLate }).type, 'hedge');
  const oneZone = { total: 20, late: 3, zones: 1, lateZones: 1 };
  t2.equal(decideHedge({ ...INPUT, inProgress: oneZone }).type, 'hedge', 'in a single zone');
});

const withAlternative = (changes: Partial<HedgeAlternative>) => ({
  findAlternative: () => ({ ...ALTERNATIVE, ...changes }),
});

const SKIPPED: readonly [string, HedgeSkipReason, Partial<HedgeInput<HedgeAlternative>>][] = [
  ['a call that may run only once', 'not_repeatable', { isRepeatable: false }],
  ['a caller that gave up', 'caller_left', { hasCallerLeft: true }],
  ['a stream past its first event', 'response_started', { hasResponseStarted: true }],
  ['a request at its last attempt', 'attempts_used_up', { sends: 2 }],
  ['a node that waits for a core', 'vm_late', { eventLoopDelayMs: 80 }],
  [
    'an endpoint lost at peak load, or the link of the node',
    'many_late',
    { inProgress: { total: 20, late: 9, zones: 3, lateZones: 3 } },
  ],
  [
    'a zone whose link is full',
    'zone_late',
    { inProgress: { total: 20, late: 4, zones: 3, lateZones: 1 } },
  ],
  ['a burst that used the share up', 'share_used_up', { hasShare: false }],
  ['callers that retry at once and often', 'retry_budget_used_up', { hasRetryBudget: false }],
  ['a prompt that crashes endpoints', 'crash_suspect', { isSuspect: () => true }],
  ['two endpoints of which one is lost', 'no_alternative', { findAlternative: () => undefined }],
  ['a request near its time limit', 'time_is_short', { remainingMs: 50 }],
  ['a burst of bulk prompts', 'overload', withAlternative({ waitMs: 150, expectedMs: 200 })],
  [
    'a short queue of urgent streams',
    'alternative_has_queue',
    withAlternative({ queuedRequests: 1 }),
  ],
];

for (const [load, reason, changes] of SKIPPED) {
  // Guards against extra sends that displace other requests or break a promise.
  t.test(`${load} is not hedged`, async (t2) => {
    t2.strictSame(decideHedge({ ...INPUT, ...changes }), { type: 'skip', reason });
  });
}

t.test(
  'a refused hedge changes nothing at endpoints: none is placed under overload',
  async (t2) => {
    const findAlternative = () => t2.fail('placed') as never;
    decideHedge({ ...INPUT, findAlternative, hasShare: false });
    decideHedge({ ...INPUT, findAlternative, eventLoopDelayMs: 80 });
    t2.pass();
  },
);

t.test('a steady load has a delay just beyond its usual lateness', async (t2) => {
  const distribution = LatenessDistribution.create();
  for (let index = 0; index < 39; index += 1) distribution.recordSample(1, index);
  t2.equal(distribution.getQuantile(0.95, 39), undefined, 'with too few samples there is none');
  for (let index = 39; index < 200; index += 1)
    distribution.recordSample(index % 50 === 0 ? 40 : 1, index);
  const ratio = distribution.getQuantile(0.95, 200);
  t2.ok(ratio !== undefined && ratio >= 1 && ratio < 1.2, String(ratio));
  t2.equal(distribution.getQuantile(0.95, 200 + 600_000), undefined, 'old samples expire');
});

t.test(
  'endpoints whose speed changes 20 times a second do not set the delay of others',
  async (t2) => {
    const route = LatenessDistribution.create();
    const erratic = LatenessDistribution.create();
    for (let index = 0; index < 400; index += 1) {
      const isErratic = index % 40 === 0;
      route.recordSample(isErratic ? 12 : 1, index);
      if (index % 4 === 0) erratic.recordSample(index % 8 === 0 ? 12 : 1, index);
    }
    const quantile = computeHedgeQuantile(0.05);
    const routeRatio = route.getQuantile(quantile, 400)!;
    const erraticRatio = erratic.getQuantile(quantile, 400)!;
    t2.ok(computeHedgeDelayMs(50, routeRatio, undefined) < 60);
    const delayMs = computeHedgeDelayMs(50, routeRatio, erraticRatio);
    t2.ok(delayMs >= 100 && delayMs < 120, 'the erratic one is hedged at twice the usual delay');
    t2.equal(computeHedgeDelayMs(2, 1, undefined), 10, 'a call of 2 ms is not hedged at once');
  },
);
