import { assertNever } from '@lovagearch/common';
import type { BenchResult, ScenarioName } from './benchBounds.js';
import type { PolicyName } from './benchCluster.js';
import { computeDesignRate, type BenchDeployment } from './benchDeployments.js';
import type { BenchFault } from './benchFaults.js';
import { computeMeasures } from './benchMeasures.js';
import { runBench } from './benchRun.js';
import { createWorkload } from './benchWorkload.js';

export const SCENARIOS: readonly ScenarioName[] = [
  'quiet',
  'design',
  'twice',
  'store_lost',
  'zone_cut',
  'link_halved',
  'table_out',
];
export const POLICIES: readonly PolicyName[] = [
  'cost',
  'round_robin',
  'least_loaded',
  'prefix_affinity',
];
/** Share of the design load in the quiet scenario. */
const QUIET_SHARE = 0.2;

interface ScenarioLoad {
  readonly loadShare: number;
  /** Factor of the mean time until a prompt returns. */
  readonly gapShare: number;
  readonly fault: BenchFault | undefined;
}

const getLoad = (scenario: ScenarioName): ScenarioLoad => {
  switch (scenario) {
    case 'quiet':
      return { loadShare: QUIET_SHARE, gapShare: 1, fault: undefined };
    case 'design':
      return { loadShare: 1, gapShare: 1, fault: undefined };
    case 'twice':
      // The same prompts return twice as often, so that the runners' caches hold the same share.
      return { loadShare: 2, gapShare: 0.5, fault: undefined };
    case 'link_halved':
    case 'store_lost':
    case 'table_out':
    case 'zone_cut':
      return { loadShare: 1, gapShare: 1, fault: scenario };
    default:
      return assertNever(scenario);
  }
};

/** Tells whether a scenario is also run with the simpler policies. */
export const isCompared = (scenario: ScenarioName): boolean =>
  scenario === 'quiet' || scenario === 'design' || scenario === 'twice';

export interface ScenarioOptions {
  readonly deployment: BenchDeployment;
  readonly scenario: ScenarioName;
  readonly policy: PolicyName;
  readonly seed: number;
  readonly warmUpMs: number;
  readonly measuredMs: number;
  /** Mean time until a prompt returns at the design load; half of it is the shortest. */
  readonly gapMs: number;
}

/** Runs one scenario with one policy; the requests depend on everything but the policy. */
export const runScenario = async (options: ScenarioOptions): Promise<BenchResult> => {
  const { deployment, scenario, policy, seed, warmUpMs, measuredMs } = options;
  const { loadShare, gapShare, fault } = getLoad(scenario);
  const requestsPerSecond = computeDesignRate(deployment) * loadShare;
  const requests = createWorkload({
    seed,
    regions: deployment.regions,
    warmUpMs,
    measuredMs,
    requestsPerSecond,
    gapMs: options.gapMs * gapShare,
  });
  const outcome = await runBench({ deployment, policy, requests, warmUpMs, measuredMs, fault });
  const measures = computeMeasures(outcome);
  return { deployment: deployment.name, scenario, policy, requestsPerSecond, measures };
};
