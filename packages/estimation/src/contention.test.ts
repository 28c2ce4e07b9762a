import assert from 'node:assert/strict';
import fc from 'fast-check';
import t from 'tap';
import { createRandom } from '@lovagearch/common';
import { Contention, MAX_WORK_PERCENT, MIN_WORK_PERCENT, WorkTime } from './index.js';

// Guards against forecasts that change for endpoints that do not report their contention.
t.test('without a figure the factor is 1', async (t2) => {
  t2.equal(Contention.create().estimateOver(20, 1_000), 1);
});

// Guards against a choice by a figure that has changed several times since it was reported.
t.test('a figure fades towards the usual one, the faster for long or late work', async (t2) => {
  const contention = Contention.create();
  for (let index = 0; index < 200; index++) contention.record(120, index);
  contention.record(300, 1_000);
  const fresh = contention.estimateOver(1, 1_000);
  t2.ok(fresh > 2.9, `${fresh}`);
  t2.ok(contention.estimateOver(100, 1_000) < 2.2, 'the figure changes during the work');
  t2.ok(contention.estimateOver(1, 1_000, 150) < 1.4, 'and before it starts');
  const old = contention.estimateOver(1, 2_000);
  t2.ok(Math.abs(old - contention.usualFactor) < 0.01, `${old}`);
  t2.ok(old < 1.35, `${old}`);
});

t.test('absurd figures keep the estimate within bounds', async () => {
  const figure = fc.oneof(fc.double(), fc.integer());
  fc.assert(
    fc.property(fc.array(figure), (figures) => {
      const contention = Contention.create();
      for (const [index, value] of figures.entries()) contention.record(value, index);
      const factor = contention.estimateOver(20, figures.length);
      assert.ok(factor >= MIN_WORK_PERCENT / 100 && factor <= MAX_WORK_PERCENT / 100);
    }),
  );
});

// Guards against a VM that takes two slow responses for a slow endpoint.
t.test('an endpoint with few samples counts like its service', async (t2) => {
  const random = createRandom(1);
  const workTime = WorkTime.create();
  workTime.record(60);
  t2.ok(workTime.estimate(20) < 25);
  for (let index = 0; index < 200; index++) workTime.record(30 + random() * 20);
  t2.ok(Math.abs(workTime.estimate(20) - 40) < 4, `${workTime.estimate(20)}`);
});
