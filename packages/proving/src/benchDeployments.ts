import { MS_PER_SECOND } from '@lovagearch/common';
import type { Place } from './cluster.js';

/** One region of a deployment: its zones with the number of VMs in each. */
export interface BenchZone extends Place {
  readonly runners: number;
  readonly instances: number;
  readonly entries: number;
}

/** A deployment of design.md, section 1.1, scaled to one machine. */
export interface BenchDeployment {
  readonly name: string;
  readonly modelService: string;
  readonly model: string;
  readonly plainService: string;
  /** Path of the non-idempotent route. */
  readonly oncePath: string;
  /** The first region is the one with most work. */
  readonly regions: readonly string[];
  readonly zones: readonly BenchZone[];
}

export const ASSOCIATION: BenchDeployment = {
  name: 'association',
  modelService: 'rosters',
  model: 'roster-8b',
  plainService: 'app',
  oncePath: '/swaps',
  regions: ['nairobi', 'mombasa'],
  zones: [
    { region: 'nairobi', zone: 'nairobi-a', runners: 5, instances: 1, entries: 1 },
    { region: 'nairobi', zone: 'nairobi-b', runners: 4, instances: 1, entries: 1 },
    { region: 'mombasa', zone: 'mombasa-a', runners: 4, instances: 1, entries: 1 },
  ],
};

export const COOPERATIVE: BenchDeployment = {
  name: 'cooperative',
  modelService: 'estimator',
  model: 'crop-8b',
  plainService: 'ledger',
  oncePath: '/claims',
  regions: ['south', 'north'],
  zones: [
    { region: 'south', zone: 'chiayi', runners: 2, instances: 1, entries: 1 },
    { region: 'south', zone: 'tainan', runners: 2, instances: 1, entries: 1 },
    { region: 'north', zone: 'taoyuan', runners: 2, instances: 1, entries: 1 },
  ],
};

export const DEPLOYMENTS: readonly BenchDeployment[] = [ASSOCIATION, COOPERATIVE];

/** Prompt tokens that a runner computes in a second. */
export const PREFILL_TOKENS_PER_SECOND = 12_000;
/** Time of one decode step; 50 ms between tokens leaves 20 ms below the bound of 70 ms. */
export const STEP_MS = 50;
/** Sequences that a runner decodes together. */
export const MAX_BATCH = 16;
/**
 * Tokens in a runner's cache: those of a full batch, which pins its blocks. At the design load a
 * prompt that is no longer in use is evicted within about 9 s, before it returns.
 */
export const CACHE_TOKENS = 98_304;
/** KV bytes of a token; a prompt of 4,000 tokens has 256 kB. */
export const KV_BYTES_PER_TOKEN = 64;
/** Bandwidth of a store VM. */
export const STORE_BYTES_PER_SECOND = 20_000_000;
/** Bandwidth of each direction of the link between regions: 20 Mbit/s. */
export const LINK_BYTES_PER_SECOND = 2_500_000;
/** One-way delay of the link between regions. */
export const LINK_DELAY_MS = 8;
/** Tokens of an answer. */
export const ANSWER_TOKENS = 96;
/** Share of requests with a prompt that was never sent before. */
export const NEW_PROMPT_SHARE = 0.03;
/** Tokens that a returning prompt adds. */
export const QUESTION_TOKENS = { min: 64, max: 160 } as const;
/** Tokens of a prompt at its first and last use. */
export const PROMPT_TOKENS = { min: 2_000, max: 6_000 } as const;
/** Part of the capacity that the design load uses. */
export const DESIGN_SHARE = 0.7;

const getMean = ({ min, max }: { readonly min: number; readonly max: number }): number =>
  (min + max) / 2;

/**
 * Computes the requests a second at the design load: 70% of what the runners can serve if every
 * returning prompt is reused. The smaller of two limits counts: prompt tokens computed, and
 * sequences decoded.
 */
export const computeDesignRate = ({ zones }: BenchDeployment): number => {
  let runners = 0;
  for (const zone of zones) runners += zone.runners;
  const workTokens =
    NEW_PROMPT_SHARE * getMean(PROMPT_TOKENS) + (1 - NEW_PROMPT_SHARE) * getMean(QUESTION_TOKENS);
  const residenceMs =
    (workTokens * MS_PER_SECOND) / PREFILL_TOKENS_PER_SECOND + ANSWER_TOKENS * STEP_MS;
  const computeLimit = (runners * PREFILL_TOKENS_PER_SECOND) / workTokens;
  const decodeLimit = (runners * MAX_BATCH * MS_PER_SECOND) / residenceMs;
  return DESIGN_SHARE * Math.min(computeLimit, decodeLimit);
};
