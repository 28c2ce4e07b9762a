import {
  MAX_FIT_SAMPLES,
  MAX_OVERHEAD_MS,
  MAX_PREFILL_TOKENS_PER_MS,
  MAX_RESIDENCE_MS,
  MAX_SAMPLE_VALUE,
  MIN_FIT_SAMPLES,
  MIN_PREFILL_TOKENS_PER_MS,
  MIN_RESIDENCE_MS,
  PRIOR_OVERHEAD_MS,
  PRIOR_PREFILL_TOKENS_PER_MS,
  PRIOR_RESIDENCE_MS,
  PRIOR_RESIDENCE_WEIGHT,
  RESIDENCE_DECAY_MS,
  SAMPLES_PER_FIT,
} from './constants.js';
import { WorkTime } from './workTime.js';
import { fitLine, type Sample } from './fitLine.js';

/** The time to the first token of a request that hardly waited. */
export interface FirstTokenSample {
  /** Prompt tokens that the engine had to prefill. */
  readonly prefilledTokens: number;
  /** Time from sending to the first token, without the network and the expected wait, in milliseconds. */
  readonly delayMs: number;
}

/** How long a request occupied an engine's memory. */
export interface ResidenceSample {
  /** Tokens that the request occupied. */
  readonly memoryTokens: number;
  readonly residenceMs: number;
}

const clamp = (value: number, least: number, most: number): number =>
  Math.min(most, Math.max(least, value));

const isUsable = (...values: readonly number[]): boolean =>
  values.every((value) => value >= 0 && value <= MAX_SAMPLE_VALUE);

/**
 * How fast the engines of one service work, estimated from the responses that this process received. Until there
 * are enough, a prior counts. Samples that no engine can cause move an estimate to its bounds at most.
 *
 * @example
 * const timings = EngineTimings.create();
 * timings.recordFirstToken({ prefilledTokens: 2_000, delayMs: 85 });
 * const forecastMs = timings.overheadMs + tokens / timings.prefillTokensPerMs;
 */
export class EngineTimings {
  /** Duration of plain calls. */
  readonly workTime = WorkTime.create();

  private readonly samples: Sample[] = [];

  private samplesSinceFit = 0;

  private rate = PRIOR_PREFILL_TOKENS_PER_MS;

  private overhead = PRIOR_OVERHEAD_MS;

  /** Decayed sums over requests of tokens times residence, and of tokens. */
  private residenceSum = 0;

  private tokenSum = 0;

  /** Decayed sums over requests of tokens times residence without the prior, and of residence. */
  private runningTokenSum = 0;

  private timeSum = 0;

  private residenceAtMs = Number.NEGATIVE_INFINITY;

  static create(): EngineTimings {
    return new EngineTimings();
  }

  /** Prompt tokens that an engine prefills in a millisecond. */
  get prefillTokensPerMs(): number {
    return this.rate;
  }

  /** Time to the first token without prefill and waiting, in milliseconds. */
  get overheadMs(): number {
    return this.overhead;
  }

  /** Time for which a token stays in an engine's memory while its request runs, in milliseconds. */
  get residenceMs(): number {
    if (this.tokenSum === 0) return PRIOR_RESIDENCE_MS;
    const meanMs = this.residenceSum / this.tokenSum;
    return clamp(meanMs, MIN_RESIDENCE_MS, MAX_RESIDENCE_MS);
  }

  /** Mean of the tokens that each request occupies in an engine's memory, over the time for which it runs; 0 if unknown. */
  get meanMemoryTokens(): number {
    return this.timeSum === 0 ? 0 : this.runningTokenSum / this.timeSum;
  }

  recordFirstToken({ prefilledTokens, delayMs }: FirstTokenSample): void {
    if (!isUsable(prefilledTokens, delayMs)) return;
    this.samples.push({ x: prefilledTokens, y: delayMs });
    if (this.samples.length > MAX_FIT_SAMPLES) this.samples.shift();
    this.samplesSinceFit += 1;
    if (this.samplesSinceFit < SAMPLES_PER_FIT || this.samples.length < MIN_FIT_SAMPLES) return;
    this.samplesSinceFit = 0;
    const line = fitLine(this.samples);
    if (line === undefined) return;
    const rate = line.slope > 0 ? 1 / line.slope : MAX_PREFILL_TOKENS_PER_MS;
    this.rate = clamp(rate, MIN_PREFILL_TOKENS_PER_MS, MAX_PREFILL_TOKENS_PER_MS);
    this.overhead = clamp(line.intercept, 0, MAX_OVERHEAD_MS);
  }

  recordResidence({ memoryTokens, residenceMs }: ResidenceSample, nowMs: number): void {
    if (!isUsable(memoryTokens, residenceMs) || memoryTokens === 0) return;
    if (this.tokenSum === 0) {
      // The prior fades with the samples that follow.
      this.tokenSum = memoryTokens * PRIOR_RESIDENCE_WEIGHT;
      this.residenceSum = this.tokenSum * PRIOR_RESIDENCE_MS;
      this.residenceAtMs = nowMs;
    }
    const keptShare = Math.exp(-Math.max(0, nowMs - this.residenceAtMs) / RESIDENCE_DECAY_MS);
    this.residenceAtMs = nowMs;
    const boundedMs = clamp(residenceMs, MIN_RESIDENCE_MS, MAX_RESIDENCE_MS);
    this.residenceSum = this.residenceSum * keptShare + memoryTokens * boundedMs;
    this.tokenSum = this.tokenSum * keptShare + memoryTokens;
    this.runningTokenSum = this.runningTokenSum * keptShare + memoryTokens * boundedMs;
    this.timeSum = this.timeSum * keptShare + boundedMs;
  }
}
