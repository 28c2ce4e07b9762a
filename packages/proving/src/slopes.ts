import { parseArgs } from 'node:util';
import { processClock } from '@lovagearch/common';
import { SECTIONS } from './slopesSections.js';

const { values } = parseArgs({
  options: {
    quick: { type: 'boolean', default: false },
    only: { type: 'string', default: '' },
  },
});

const startMs = processClock.nowMs();
for (const { name, run } of SECTIONS) {
  if (!name.includes(values.only)) continue;
  const lines = await run(values.quick);
  process.stdout.write(`\n## ${name}\n\n${lines.join('\n\n')}\n`);
}
const elapsedS = (processClock.nowMs() - startMs) / 1_000;
process.stdout.write(`\nMeasured in ${elapsedS.toFixed(0)} s on Node.js ${process.version}.\n`);
