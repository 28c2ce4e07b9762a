import { BYTES_PER_TOKEN, MS_PER_SECOND } from '@lovagearch/common';
import type { PromptOutcome, RunOutcome } from './benchRun.js';

/** Percentiles of a time, in milliseconds. */
export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** The figures of one run; all but the prompt work are of the measured part alone. */
export interface RunMeasures {
  readonly sent: number;
  readonly completed: number;
  readonly goodputPerSecond: number;
  readonly ttftMs: Percentiles;
  readonly ttftMsByClass: Readonly<Record<string, Percentiles>>;
  /** First tokens of prompts that no runner had seen, and of returning ones. */
  readonly ttftMsNew: Percentiles;
  readonly ttftMsReturning: Percentiles;
  readonly tokenGapMs: Percentiles;
  /** Prompt tokens that runners computed, and those that nobody could have avoided. */
  readonly computedTokens: number;
  readonly floorTokens: number;
  readonly computedToFloor: number;
  readonly cachedTokens: number;
  readonly importedTokens: number;
  readonly linkBytes: number;
  readonly refusals: Readonly<Record<string, number>>;
  /** Answers that ended without `[DONE]` and without a refusal. */
  readonly lost: number;
  readonly wrong: number;
  readonly repeatedRuns: number;
  readonly calls: Readonly<Record<string, number>>;
  readonly entryMsPerRequest: number;
}

/** Computes percentiles of values; zeros without values. */
export const computePercentiles = (values: readonly number[]): Percentiles => {
  const sorted = [...values].sort((a, b) => a - b);
  const getAt = (share: number): number =>
    sorted[Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)] ?? 0;
  return { count: sorted.length, p50: getAt(0.5), p95: getAt(0.95), p99: getAt(0.99) };
};

const countBy = (names: readonly string[]): Record<string, number> => {
  const counts: Record<string, number> = {};
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1;
  return counts;
};

const isCompleted = ({ result }: PromptOutcome): boolean => result?.isComplete === true;

const isLost = ({ result }: PromptOutcome): boolean =>
  result === undefined || (!result.isComplete && result.failure?.run !== 'not_run');

/** Whether most of a prompt occurred for the first time. */
const isNew = ({ planned, floorTokens }: PromptOutcome): boolean =>
  floorTokens * BYTES_PER_TOKEN * 2 > planned.prompt.length;

const computeTtfts = (prompts: readonly PromptOutcome[]): Percentiles =>
  computePercentiles(
    prompts.map(({ result }) => result?.ttftMs ?? 0).filter((ttftMs) => ttftMs > 0),
  );

/** Computes the figures of a run from its outcome. */
export const computeMeasures = (outcome: RunOutcome): RunMeasures => {
  const measured = outcome.prompts.filter(({ planned }) => planned.isMeasured);
  const completed = measured.filter(isCompleted);
  const work = { computed: 0, floor: 0, cached: 0, imported: 0 };
  for (const { result, floorTokens } of completed) {
    if (result?.usage === undefined) continue;
    const { prompt_tokens: promptTokens, prompt_tokens_details: details } = result.usage;
    const { cached_tokens: cached = 0, imported_tokens: imported = 0 } = details ?? {};
    work.computed += promptTokens - cached - imported;
    work.cached += cached;
    work.imported += imported;
    work.floor += floorTokens;
  }
  const classes = [...new Set(measured.map(({ planned }) => planned.requestClass))].sort();
  const refusals = measured
    .map(({ result }) => (result?.isComplete === true ? undefined : result?.failure?.type))
    .filter((type) => type !== undefined);
  return {
    sent: measured.length,
    completed: completed.length,
    goodputPerSecond: (completed.length * MS_PER_SECOND) / outcome.measuredMs,
    ttftMs: computeTtfts(measured),
    ttftMsByClass: Object.fromEntries(
      classes.map((name) => [
        name,
        computeTtfts(measured.filter(({ planned }) => planned.requestClass === name)),
      ]),
    ),
    ttftMsNew: computeTtfts(measured.filter(isNew)),
    ttftMsReturning: computeTtfts(measured.filter((prompt) => !isNew(prompt))),
    tokenGapMs: computePercentiles(measured.flatMap(({ result }) => result?.gapsMs ?? [])),
    computedTokens: work.computed,
    floorTokens: work.floor,
    computedToFloor: work.floor === 0 ? 0 : work.computed / work.floor,
    cachedTokens: work.cached,
    importedTokens: work.imported,
    linkBytes: outcome.linkBytes,
    refusals: countBy(refusals),
    lost: outcome.prompts.filter(isLost).length,
    wrong: outcome.prompts.filter(({ isRight }) => !isRight).length,
    repeatedRuns: outcome.repeatedRuns,
    calls: countBy(
      outcome.calls.map(({ status, failureType }) => failureType ?? `status ${status}`),
    ),
    entryMsPerRequest:
      (outcome.entrySeconds * MS_PER_SECOND) / Math.max(1, measured.length + outcome.calls.length),
  };
};
