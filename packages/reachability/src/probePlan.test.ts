import t from 'tap';
import { createRandom } from '@lovagearch/common';
import { ProbePlan, type ProbeTarget } from './index.js';

const STEP_MS = 5;
const SECONDS = 20;
const END_MS = SECONDS * 1_000;
const SEEDS = [1, 2, 3];

const createTargets = (service: string, count: number, mayHaveEnded = false): ProbeTarget[] =>
  Array.from({ length: count }, (_, index) => ({
    key: `${service}-${index}/1`,
    service,
    mayHaveEnded,
  }));

/** Runs a plan while all probes fail; returns the clock readings of the probes by endpoint. */
const runFailing = (targets: readonly ProbeTarget[], seed: number): Map<string, number[]> => {
  const plan = ProbePlan.create(createRandom(seed));
  const probes = new Map<string, number[]>();
  for (let nowMs = 0; nowMs < END_MS; nowMs += STEP_MS)
    for (const { key } of plan.selectDue(targets, nowMs)) {
      probes.set(key, [...(probes.get(key) ?? []), nowMs]);
      plan.recordFailure(key);
    }
  return probes;
};

const countAll = (probes: ReadonlyMap<string, readonly number[]>): number =>
  [...probes.values()].reduce((sum, times) => sum + times.length, 0);

// Guards against probes that grow with the deployment, and against services or endpoints that are never tried.
t.test('probes have a bounded rate and go to all endpoints in turn', async (t2) => {
  for (const seed of SEEDS) {
    const small = runFailing([...createTargets('llm', 6), ...createTargets('app', 3)], seed);
    t2.equal(small.size, 9, `seed ${seed}: all are tried`);
    t2.ok(countAll(small) <= 7 * SECONDS, `seed ${seed}: ${countAll(small)} probes`);
    for (const [key, times] of small)
      for (const [index, atMs] of times.entries())
        t2.ok(atMs - (times[index - 1] ?? 0) <= 4_000, `seed ${seed}: ${key} at ${atMs} ms`);
    const services = Array.from({ length: 20 }, (_, index) => createTargets(`s${index}`, 50));
    const large = runFailing(services.flat(), seed);
    t2.ok(countAll(large) <= 11 * SECONDS, `seed ${seed}: ${countAll(large)} probes`);
    t2.equal(new Set([...large.keys()].map((key) => key.split('-')[0])).size, 20);
  }
});

// Guards against a dead endpoint that all nodes of a large deployment keep connecting to.
t.test('an endpoint that may have ended is tried ever more rarely', async (t2) => {
  for (const seed of SEEDS) {
    const probes = runFailing(createTargets('llm', 1, true), seed);
    t2.ok(countAll(probes) <= 12, `seed ${seed}: ${countAll(probes)} probes`);
    t2.ok(countAll(probes) >= 5, `seed ${seed}: ${countAll(probes)} probes`);
  }
});

// Guards against a service whose endpoints come back one by one over seconds after a cut, and against all at once.
t.test(
  'after a success, the others of a service are tried soon and not all at once',
  async (t2) => {
    for (const seed of SEEDS) {
      const plan = ProbePlan.create(createRandom(seed));
      let targets = createTargets('llm', 64);
      const reachedAtMs: number[] = [];
      for (let nowMs = 0; targets.length > 0 && nowMs < END_MS; nowMs += STEP_MS) {
        const due = plan.selectDue(targets, nowMs);
        if (reachedAtMs.length < 4) t2.ok(due.length <= 2, `seed ${seed}: ${due.length} at once`);
        for (const target of due) {
          reachedAtMs.push(nowMs);
          plan.recordSuccess(target, nowMs);
        }
        targets = targets.filter((target) => !due.includes(target));
      }
      t2.equal(targets.length, 0, `seed ${seed}`);
      const tookMs = (reachedAtMs.at(-1) ?? 0) - (reachedAtMs[0] ?? 0);
      t2.ok(tookMs >= 75 && tookMs <= 500, `seed ${seed}: ${tookMs} ms`);
    }
  },
);
