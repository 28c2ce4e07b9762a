import t from 'tap';
import {
  computeRejectionShare,
  EndpointBrittleness,
  RejectionBudget,
  type RejectionRisk,
} from '../index.js';
import { playBrittleService } from './testBrittleService.js';

const ENDPOINT_COUNT = 6;
const MOST_FALLS = 2 + ENDPOINT_COUNT / 10;
const SEEDS = [1, 2];

const listNames = (nodeCount: number) =>
  Array.from({ length: nodeCount }, (_, index) => `edge-${index}`);

// Guards against nodes that each keep to the rejections that a brittle endpoint bears while their sum exceeds them, as
// the waiting rooms of all endpoints of a service shrink at once, and later once more.
for (const { nodeCount, rejectionsPerS, leastServed } of [
  { nodeCount: 9, rejectionsPerS: 5, leastServed: 0.6 },
  { nodeCount: 9, rejectionsPerS: 10, leastServed: 0.8 },
  { nodeCount: 80, rejectionsPerS: 5, leastServed: 0.3 },
  { nodeCount: 80, rejectionsPerS: 10, leastServed: 0.5 },
  { nodeCount: 80, rejectionsPerS: 30, leastServed: 0.7 },
]) {
  t.test(`${nodeCount} nodes, endpoints that bear ${rejectionsPerS} rejections`, async (t2) => {
    for (const loads of [1, 2, 4]) {
      const play = (isControlled: boolean, seed: number) => {
        const endpointCount = ENDPOINT_COUNT;
        const load = { nodeCount, endpointCount, rejectionsPerS, loads, isControlled, seed };
        const { falls, served, offered, capacity } = playBrittleService(load);
        return { falls, share: served / Math.min(offered, capacity) };
      };
      const uncontrolled = play(false, 1);
      t2.ok(uncontrolled.falls > MOST_FALLS, `load ${loads}: ${uncontrolled.falls} falls without`);
      for (const seed of SEEDS) {
        const { falls, share } = play(true, seed);
        t2.ok(falls <= MOST_FALLS, `load ${loads}, seed ${seed}: ${falls} falls`);
        t2.ok(share >= leastServed, `load ${loads}, seed ${seed}: ${share} served`);
        t2.ok(share >= 1.5 * uncontrolled.share, `without control: ${uncontrolled.share} served`);
      }
    }
  });
}

t.test('the rejections of all nodes together stay within what an endpoint bears', async (t2) => {
  for (const nodeCount of [1, 2, 9, 80]) {
    const names = listNames(nodeCount);
    for (const rejectionsPerS of [1, 3, 10, 100]) {
      let sum = 0;
      for (const name of names) {
        const share = computeRejectionShare(rejectionsPerS, 'i-1', name, names);
        if (share.type === 'allowed') sum += share.rejections;
      }
      t2.ok(sum >= 1 && sum <= rejectionsPerS, `${nodeCount} nodes, ${rejectionsPerS}: ${sum}`);
    }
  }
});

// Guards against a node that has just started, takes itself for the only one, and uses all rejections.
t.test('a node that does not know the others yet may cause no rejections', async (t2) => {
  for (const rejectionsPerS of [1, 10, 200])
    t2.equal(computeRejectionShare(rejectionsPerS, 'i-1', 'edge-0', undefined).type, 'probe');
});

const RISK: RejectionRisk = {
  share: { type: 'allowed', rejections: 1 },
  active: 0,
  heardAtMs: 0,
  report: undefined,
  nodeCount: 9,
  demandPerS: 10,
};

// Guards against requests that leave together before the first of them is rejected.
t.test('a request on its way counts as a rejection, and a rejection for a second', async (t2) => {
  const random = () => 0.5;
  const budget = RejectionBudget.create();
  budget.recordSent('a', RISK, 0, random);
  t2.equal(budget.findBlock({ ...RISK, active: 1 }, 10, random), 'share_used');
  budget.recordRejected('a', 0, 20, random);
  t2.equal(budget.findBlock(RISK, 1_020, random), 'share_used');
  t2.equal(budget.findBlock(RISK, 1_300, random), undefined);
  t2.equal(budget.findBlock({ ...RISK, active: 1 }, 1_300, random), 'no_room');
  t2.equal(budget.findBlock({ ...RISK, active: 1 }, 6_100, random), undefined);
});

// Guards against requests that were placed in one turn of the event loop, each before the others were sent.
t.test(
  'of requests that were placed together only as many leave as may be rejected',
  async (t2) => {
    const random = () => 0.5;
    const budget = RejectionBudget.create();
    budget.recordSent('a', RISK, 0, random);
    budget.recordSent('b', { ...RISK, active: 1 }, 0, random);
    t2.notOk(budget.confirmSend('a', RISK, 1));
    t2.ok(budget.confirmSend('b', RISK, 1));
    t2.ok(budget.confirmSend('a', { ...RISK, heardAtMs: 2_000 }, 2_000));
  },
);

// Guards against requests for an endpoint that stands still, which rejects all of them when it goes on.
t.test('a request may be rejected as long as its endpoint is silent', async (t2) => {
  const random = () => 0.5;
  const budget = RejectionBudget.create();
  budget.recordSent('a', RISK, 0, random);
  t2.equal(budget.countRisk(10, 900), 1);
  t2.equal(budget.countRisk(901, 902), 1, 'the rejection may be on its way');
  t2.equal(budget.countRisk(950, 1_000), 0);
});

t.test('an endpoint is brittle until a later response does not say so', async (t2) => {
  const brittleness = EndpointBrittleness.create();
  t2.equal(brittleness.findLimit(undefined, 0), undefined);
  brittleness.applyStatement({ type: 'named', rejectionsPerS: 5 }, 0, 100);
  t2.equal(brittleness.applyStatement({ type: 'none' }, 50, 200), undefined);
  t2.equal(brittleness.findLimit(undefined, 200), 5);
  t2.strictSame(brittleness.applyStatement({ type: 'none' }, 150, 300), {
    type: 'lifted',
    previousPerS: 5,
  });
  t2.equal(brittleness.findLimit(undefined, 300), undefined);
});

// Guards against a burst at an endpoint that has fallen over and returns, before its first response.
t.test('a new endpoint is as brittle as the others of its service', async (t2) => {
  const service = { rejectionsPerS: 5, atMs: 20_000 };
  t2.equal(EndpointBrittleness.create().findLimit(service, 21_000), 5);
  const sound = EndpointBrittleness.create();
  sound.applyStatement({ type: 'none' }, 19_000, 19_500);
  t2.equal(sound.findLimit(service, 21_000), undefined);
});
