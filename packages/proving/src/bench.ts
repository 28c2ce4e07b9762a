import { writeFile } from 'node:fs/promises';
import { parseArgs } from 'node:util';
import { checkBounds, formatTable, type BenchResult } from './benchBounds.js';
import { DEPLOYMENTS } from './benchDeployments.js';
import { measurePeak, type PeakMeasures } from './benchPeak.js';
import { isCompared, POLICIES, runScenario, SCENARIOS } from './benchScenarios.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    deployment: { type: 'string', default: '' },
    /** A scenario, or `peak` for one entry process alone. */
    scenario: { type: 'string', default: '' },
    policy: { type: 'string', default: '' },
    out: { type: 'string', default: '' },
    quick: { type: 'boolean', default: false },
  },
});

/**
 * Lengths of the warm-up, which introduces the prompts, and of the measured part. A warm-up as long
 * as the mean gap introduces them at the rate of the measured requests.
 */
const FULL = { warmUpMs: 20_000, measuredMs: 15_000, gapMs: 20_000 };
const QUICK = { warmUpMs: 10_000, measuredMs: 6_000, gapMs: 10_000 };

const isSelected = (name: string, selected: string): boolean =>
  selected === '' || selected === name;

/** A quick run without a selection takes the smaller deployment at its design load. */
const { quick: isQuick, seed } = values;
const hasSelection = values.deployment + values.scenario + values.policy !== '';
const isShort = isQuick && !hasSelection;
const selection = {
  deployment: isShort ? 'cooperative' : values.deployment,
  scenario: isShort ? 'design' : values.scenario,
  policy: isShort ? 'cost' : values.policy,
};

const runAll = async (): Promise<BenchResult[]> => {
  const results: BenchResult[] = [];
  const lengths = isQuick ? QUICK : FULL;
  for (const deployment of DEPLOYMENTS) {
    if (!isSelected(deployment.name, selection.deployment)) continue;
    for (const scenario of SCENARIOS) {
      if (!isSelected(scenario, selection.scenario)) continue;
      for (const policy of POLICIES) {
        if (!isSelected(policy, selection.policy)) continue;
        if (policy !== 'cost' && !isCompared(scenario)) continue;
        process.stderr.write(`${deployment.name} ${scenario} ${policy}\n`);
        const options = { deployment, scenario, policy, seed: Number(seed), ...lengths };
        results.push(await runScenario(options));
      }
    }
  }
  return results;
};

const runPeak = async (): Promise<PeakMeasures | undefined> => {
  const isWanted = isShort || (isSelected('peak', values.scenario) && values.deployment === '');
  return isWanted ? measurePeak(Number(seed), isQuick ? 'quick' : 'full') : undefined;
};

const peak = await runPeak();
const results = await runAll();
const verdicts = checkBounds(results, peak);
process.stdout.write(`${formatTable(verdicts)}\n`);
const notMet = verdicts.filter(({ verdict }) => verdict === 'not met').length;
process.stdout.write(`seed ${seed}, ${results.length} runs, ${notMet} bounds not met\n`);
if (values.out !== '') {
  await writeFile(values.out, JSON.stringify({ seed, peak, results, verdicts }, undefined, 2));
}
process.exitCode = notMet === 0 ? 0 : 1;
