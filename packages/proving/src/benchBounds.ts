import type { PolicyName } from './benchCluster.js';
import type { RunMeasures } from './benchMeasures.js';
import type { PeakMeasures } from './benchPeak.js';

export type ScenarioName =
  'design' | 'link_halved' | 'quiet' | 'store_lost' | 'table_out' | 'twice' | 'zone_cut';

/** One run of the benchmark with its figures. */
export interface BenchResult {
  readonly deployment: string;
  readonly scenario: ScenarioName;
  readonly policy: PolicyName;
  readonly requestsPerSecond: number;
  readonly measures: RunMeasures;
}

/** One line of the report. A figure without a bound has the verdict `none`. */
export interface Verdict {
  readonly run: string;
  readonly figure: string;
  readonly value: number;
  readonly bound: number | undefined;
  readonly verdict: 'met' | 'none' | 'not met';
}

/** Bounds of the stated targets (design.md, 1.2 and 1.4); they never follow a measured figure. */
export const BOUNDS = {
  ttftP95Ms: 480,
  tokenGapP95Ms: 70,
  computedToFloor: 1.1,
  addedDelayP50Ms: 1,
  peakCores: 0.5,
} as const;

const createVerdict = (
  run: string,
  figure: string,
  value: number,
  bound?: number,
  isMet: (value: number, bound: number) => boolean = (actual, limit) => actual <= limit,
): Verdict => {
  if (bound === undefined) return { run, figure, value, bound, verdict: 'none' };
  return { run, figure, value, bound, verdict: isMet(value, bound) ? 'met' : 'not met' };
};

const findResult = (
  results: readonly BenchResult[],
  deployment: string,
  scenario: ScenarioName,
  policy: PolicyName,
): BenchResult | undefined =>
  results.find(
    (result) =>
      result.deployment === deployment && result.scenario === scenario && result.policy === policy,
  );

/** Returns the fewest link bytes of the other policies in the same scenario. */
const getLinkBound = (result: BenchResult, results: readonly BenchResult[]): number | undefined => {
  const others = results.filter(
    ({ deployment, scenario, policy }) =>
      deployment === result.deployment && scenario === result.scenario && policy !== 'cost',
  );
  if (others.length === 0) return undefined;
  return Math.min(...others.map(({ measures }) => measures.linkBytes));
};

/** The bounds hold for the product's policy; the others are there for comparison. */
const checkRun = (result: BenchResult, results: readonly BenchResult[]): Verdict[] => {
  const { deployment, scenario, policy, measures } = result;
  const run = `${deployment}/${scenario}/${policy}`;
  const isProduct = policy === 'cost';
  const isDesign = isProduct && scenario === 'design';
  const forDesign = (bound: number): number | undefined => (isDesign ? bound : undefined);
  const design = findResult(results, deployment, 'design', policy);
  const goodputBound =
    isProduct && scenario === 'twice' ? design?.measures.goodputPerSecond : undefined;
  const classes = Object.entries(measures.ttftMsByClass).flatMap(([name, { p50, p95, p99 }]) => [
    createVerdict(run, `first token p50 ${name}, ms`, p50),
    createVerdict(run, `first token p95 ${name}, ms`, p95),
    createVerdict(run, `first token p99 ${name}, ms`, p99),
  ]);
  const refusals = Object.entries(measures.refusals).map(([type, count]) =>
    createVerdict(run, `refused ${type}`, count),
  );
  return [
    createVerdict(run, 'first token p50, ms', measures.ttftMs.p50),
    createVerdict(run, 'first token p95, ms', measures.ttftMs.p95, forDesign(BOUNDS.ttftP95Ms)),
    createVerdict(run, 'first token p99, ms', measures.ttftMs.p99),
    createVerdict(run, 'first token p95 new prompt, ms', measures.ttftMsNew.p95),
    createVerdict(run, 'first token p95 returning, ms', measures.ttftMsReturning.p95),
    ...classes,
    createVerdict(
      run,
      'between tokens p95, ms',
      measures.tokenGapMs.p95,
      forDesign(BOUNDS.tokenGapP95Ms),
    ),
    createVerdict(
      run,
      'computed / floor',
      measures.computedToFloor,
      forDesign(BOUNDS.computedToFloor),
    ),
    createVerdict(
      run,
      'link bytes',
      measures.linkBytes,
      isProduct ? getLinkBound(result, results) : undefined,
    ),
    createVerdict(
      run,
      'answers a second',
      measures.goodputPerSecond,
      goodputBound,
      (value, bound) => value >= bound,
    ),
    ...refusals,
    createVerdict(run, 'requests lost', measures.lost, isProduct ? 0 : undefined),
    createVerdict(run, 'answers wrong', measures.wrong, 0),
    createVerdict(run, 'calls run twice', measures.repeatedRuns, 0),
    createVerdict(run, 'entry processor ms a request', measures.entryMsPerRequest),
  ];
};

const checkPeak = (peak: PeakMeasures): Verdict[] => [
  createVerdict('peak', 'direct first token p50, ms', peak.directMs.p50),
  createVerdict('peak', 'added delay p50, ms', peak.addedMs.p50, BOUNDS.addedDelayP50Ms),
  createVerdict('peak', 'added delay p95, ms', peak.addedMs.p95),
  createVerdict('peak', 'requests a second', peak.requestsPerSecond),
  createVerdict('peak', 'tokens a second', peak.tokensPerSecond),
  createVerdict('peak', 'cores', peak.cores, BOUNDS.peakCores),
  createVerdict('peak', 'processor ms a request', peak.msPerRequest),
  createVerdict('peak', 'processor ms for 1,000 tokens', peak.msPerThousandTokens),
  createVerdict('peak', 'answers not whole', peak.incomplete, 0),
];

/** Compares all figures with their bounds. */
export const checkBounds = (
  results: readonly BenchResult[],
  peak: PeakMeasures | undefined,
): Verdict[] => [
  ...results.flatMap((result) => checkRun(result, results)),
  ...(peak === undefined ? [] : checkPeak(peak)),
];

const formatValue = (value: number): string =>
  Number.isInteger(value) ? String(value) : value.toFixed(2);

/** Formats the table of figure, bound and verdict. */
export const formatTable = (verdicts: readonly Verdict[]): string =>
  [
    ['run', 'figure', 'value', 'bound', 'verdict'],
    ['---', '---', '--:', '--:', '---'],
  ]
    .concat(
      verdicts.map(({ run, figure, value, bound, verdict }) => [
        run,
        figure,
        formatValue(value),
        bound === undefined ? '' : formatValue(bound),
        verdict === 'none' ? '' : verdict,
      ]),
    )
    .map((cells) => `| ${cells.join(' | ')} |`)
    .join('\n');
