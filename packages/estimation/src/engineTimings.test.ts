import assert from 'node:assert/strict';
import fc from 'fast-check';
import t from 'tap';
import { createRandom } from '@lovagearch/common';
import {
  EngineTimings,
  MAX_OVERHEAD_MS,
  MAX_PREFILL_TOKENS_PER_MS,
  MAX_RESIDENCE_MS,
  MIN_PREFILL_TOKENS_PER_MS,
  MIN_RESIDENCE_MS,
  PRIOR_OVERHEAD_MS,
  PRIOR_PREFILL_TOKENS_PER_MS,
  PRIOR_RESIDENCE_MS,
} from './index.js';

/** Responses within which the forecast has to be right. */
const RESPONSES = 200;
const MAX_MEDIAN_ERROR = 0.15;
const SEEDS = [1, 2, 3, 4, 5];
const OVERHEAD_MS = 30;

const getMedian = (values: readonly number[]) =>
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)]!;

const createTokens = (random: () => number) => {
  const isLong = random() < 0.4;
  return isLong ? 500 + random() * 9_000 : 50 + random() * 400;
};

// Guards against forecasts that hold for the engines of one deployment only.
for (const rate of [20, 42.6, 81.9, 330]) {
  t.test(`the forecast holds for engines of ${rate} tokens per ms`, async (t2) => {
    for (const seed of SEEDS) {
      const random = createRandom(seed);
      const timings = EngineTimings.create();
      for (let response = 0; response < RESPONSES; response++) {
        const tokens = createTokens(random);
        const noise = 0.85 + random() * 0.3;
        // A tenth had parts cached that were taken for missing, and a tenth waited unnoticed.
        const cachedShare = random() < 0.1 ? random() : 0;
        const waitMs = random() < 0.1 ? random() * 300 : 0;
        const delayMs = (OVERHEAD_MS + (tokens * (1 - cachedShare)) / rate) * noise + waitMs;
        timings.recordFirstToken({ prefilledTokens: tokens, delayMs });
      }
      const errors: number[] = [];
      for (let request = 0; request < RESPONSES; request++) {
        const tokens = createTokens(random);
        const actualMs = OVERHEAD_MS + tokens / rate;
        const forecastMs = timings.overheadMs + tokens / timings.prefillTokensPerMs;
        errors.push(Math.abs(forecastMs - actualMs) / actualMs);
      }
      t2.ok(getMedian(errors) < MAX_MEDIAN_ERROR, `seed ${seed}: ${getMedian(errors).toFixed(3)}`);
    }
  });
}

t.test('the estimate follows engines that become slower', async (t2) => {
  const random = createRandom(1);
  const timings = EngineTimings.create();
  for (const rate of [80, 20]) {
    for (let response = 0; response < RESPONSES; response++) {
      const prefilledTokens = createTokens(random);
      timings.recordFirstToken({ prefilledTokens, delayMs: OVERHEAD_MS + prefilledTokens / rate });
    }
    t2.ok(Math.abs(timings.prefillTokensPerMs / rate - 1) < MAX_MEDIAN_ERROR);
  }
});

t.test('responses that say nothing about the rate keep the prior', async (t2) => {
  const timings = EngineTimings.create();
  t2.equal(timings.residenceMs, PRIOR_RESIDENCE_MS);
  for (let response = 0; response < RESPONSES; response++)
    timings.recordFirstToken({ prefilledTokens: 300, delayMs: 35 });
  t2.equal(timings.prefillTokensPerMs, PRIOR_PREFILL_TOKENS_PER_MS);
  t2.equal(timings.overheadMs, PRIOR_OVERHEAD_MS);
});

// Guards against an endpoint or a clock that reports absurd times.
t.test('absurd samples move no estimate beyond its bounds', async (t2) => {
  const anyNumber = fc.oneof(fc.double(), fc.constantFrom(0, -1, Number.MAX_VALUE, Number.NaN));
  fc.assert(
    fc.property(fc.array(fc.tuple(anyNumber, anyNumber), { maxLength: 200 }), (pairs) => {
      const timings = EngineTimings.create();
      for (const [index, [first, second]] of pairs.entries()) {
        timings.recordFirstToken({ prefilledTokens: first, delayMs: second });
        timings.recordResidence({ memoryTokens: first, residenceMs: second }, index);
      }
      assert.ok(timings.prefillTokensPerMs >= MIN_PREFILL_TOKENS_PER_MS);
      assert.ok(timings.prefillTokensPerMs <= MAX_PREFILL_TOKENS_PER_MS);
      assert.ok(timings.overheadMs >= 0 && timings.overheadMs <= MAX_OVERHEAD_MS);
      assert.ok(timings.residenceMs >= MIN_RESIDENCE_MS && timings.residenceMs <= MAX_RESIDENCE_MS);
    }),
    { numRuns: 200 },
  );
  t2.end();
});

t.test('the residence time weights requests by the memory that they occupy', async (t2) => {
  const timings = EngineTimings.create();
  for (let index = 0; index < 200; index++) {
    timings.recordResidence({ memoryTokens: 9_000, residenceMs: 100 }, index * 10);
    timings.recordResidence({ memoryTokens: 900, residenceMs: 650 }, index * 10);
  }
  t2.ok(Math.abs(timings.residenceMs - 150) < 15, `${timings.residenceMs}`);
});
