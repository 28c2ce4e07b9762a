import { readFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { formatProof, runProof } from './proofRunner.js';
import { PROOFS } from './proofs.js';

const DEFAULT_SEED = 1;

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: String(DEFAULT_SEED) },
    case: { type: 'string', default: '' },
    rounds: { type: 'string', default: '1' },
    list: { type: 'boolean', default: false },
  },
});

/** Names of the cases that KNOWN-RED.txt lists, as `prove > <case>`. */
const readKnownRed = async (): Promise<Set<string>> => {
  const file = fileURLToPath(new URL('../../../KNOWN-RED.txt', import.meta.url));
  const lines = (await readFile(file, 'utf8')).split('\n');
  const tests = lines.filter((line) => !line.startsWith('#')).map((line) => line.split('|')[0]);
  return new Set(tests.map((test) => (test ?? '').trim().replace(/^prove > /, '')));
};

const runAll = async (): Promise<boolean> => {
  const knownRed = await readKnownRed();
  const selected = PROOFS.filter(({ name }) => name.includes(values.case));
  let held = 0;
  let total = 0;
  let isGreen = true;
  for (let round = 0; round < Number(values.rounds); round++) {
    for (const proof of selected) {
      const result = await runProof(proof, Number(values.seed) + round);
      const isKnown = !result.hasHeld && knownRed.has(proof.name);
      total += 1;
      held += result.hasHeld ? 1 : 0;
      isGreen &&= result.hasHeld || isKnown;
      process.stdout.write(`${formatProof(result)}${isKnown ? ' (known red)' : ''}\n`);
    }
  }
  process.stdout.write(`proved ${held} of ${total} cases\n`);
  return isGreen && total > 0;
};

if (values.list) {
  for (const { name, promise, faults } of PROOFS) {
    process.stdout.write(`promise ${promise}  ${name}  [${faults.join(' + ')}]\n`);
  }
} else {
  process.exitCode = (await runAll()) ? 0 : 1;
}
