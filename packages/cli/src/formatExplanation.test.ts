import t from 'tap';
import { explanationSchema, formatExplanation } from './formatExplanation.js';

const CANDIDATE = { zone: 'z1', isAffinityOwner: false, running: 2, waiting: 0 };
const FORECAST = {
  expectedMs: 31.4,
  waitMs: 10,
  roundTripMs: 1.4,
  transferMs: 0,
  workMs: 20,
  adjustmentMs: 5,
  costMs: 36.4,
  uncachedTokens: 0,
};
const EXPLANATION = {
  type: 'routed',
  node: 'n1',
  configuration: 7,
  route: 'read',
  priority: 0,
  targetMs: 200,
  timeLimitMs: 5_000,
  isDraining: true,
  hasQuarantinedParts: false,
  targets: [
    {
      service: 'app',
      weight: 1,
      chosen: 'i-2',
      admission: { type: 'refuse', reason: 'late', retryAfterMs: 291.2 },
      candidates: [
        { ...CANDIDATE, endpoint: 'i-1', isChosen: false, excludedBy: 'leaving' },
        {
          ...CANDIDATE,
          endpoint: 'i-3',
          isChosen: false,
          excludedBy: 'unreachable',
          link: { state: 'lost', cause: 'timeout', ageMs: 1_200.4 },
        },
        { ...CANDIDATE, endpoint: 'i-2', isChosen: true, forecast: FORECAST, loadAgeMs: 80 },
      ],
    },
  ],
};

// Guards against a table without the chosen endpoint, or without the reason why another one is not.
t.test('the table shows forecast, exclusions and admission', async (t2) => {
  const parsed = explanationSchema.parse(EXPLANATION);
  if (parsed.type !== 'routed') throw new Error('not routed');
  const lines = formatExplanation(parsed);
  t2.match(lines[0], /^n1: route read, account -, priority 0, target 200 ms, limit 5000 ms/);
  t2.equal(lines[1], 'the VM is draining');
  t2.equal(lines[2], 'service app, weight 1: refused as late, Retry-After 291 ms');
  t2.match(lines[4], /^\* +i-2 +z1 +36 +31 +10 +20 +1 +0 +5 +0 +2 +0 +80 +-$/);
  t2.match(lines[5], /^ +i-1 .*excluded: leaving$/);
  t2.match(lines[6], /^ +i-3 .*excluded: unreachable, link lost \(timeout\) for 1200 ms$/);
  t2.equal(lines.length, 7);
});

// Guards against a VM without links whose table says only that no endpoint may get the request.
t.test('the table names the peer that carries the request', async (t2) => {
  const [target] = EXPLANATION.targets;
  const createLine = (relay: unknown) => {
    const lost = { ...EXPLANATION, targets: [{ ...target, chosen: undefined, relay }] };
    const parsed = explanationSchema.parse(lost);
    return parsed.type === 'routed' ? formatExplanation(parsed)[2] : undefined;
  };
  const peer = { name: 'n2', zone: 'z2', address: 'n2:1' };
  t2.equal(
    createLine({ type: 'peer', peer, evidence: 'digest' }),
    'service app, weight 1: no endpoint can be reached, passed on to n2 (z2)',
  );
  t2.equal(
    createLine({ type: 'none', reason: 'unreachable', retryInMs: 200 }),
    'service app, weight 1: no endpoint can be reached, and no peer takes the request (unreachable)',
  );
});
