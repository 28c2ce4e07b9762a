// Runs the compiled tests and prints `N passed, N failed` as the last line. Failures that
// KNOWN-RED.txt lists are printed and passed over; every other failure fails the run.
import { spawn } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { once } from 'node:events';
import { createInterface } from 'node:readline';

const FILE_LINE = /^# Subtest: (\S+)$/;
const TEST_LINE = /^ {4}(not ok|ok) \d+ - (.*?)(?: # .*)?$/;
const FILE_RESULT_LINE = /^(not ok|ok) \d+ - (.*?)(?: # .*)?$/;

const readKnownRed = () => {
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
  const entries = lines.filter((line) => line.trim() !== '' && !line.startsWith('#'));
  return entries.map((line) => ({ line, test: line.split('|')[0].trim() }));
};

const runTap = async (args) => {
  const child = spawn('npx', ['tap', '--reporter=tap', ...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const results = [];
  let file = '';
  let failuresInFile = 0;
  for await (const line of createInterface({ input: child.stdout })) {
    console.log(line);
    const fileMatch = FILE_LINE.exec(line);
    if (fileMatch !== null) {
      [, file] = fileMatch;
      failuresInFile = 0;
      continue;
    }
    const testMatch = TEST_LINE.exec(line);
    if (testMatch !== null) {
      const hasPassed = testMatch[1] === 'ok';
      if (!hasPassed) failuresInFile += 1;
      results.push({ test: `${file} > ${testMatch[2]}`, hasPassed });
      continue;
    }
    const resultMatch = FILE_RESULT_LINE.exec(line);
    // A file that crashes or times out fails without a failing test inside.
    if (resultMatch?.[1] === 'not ok' && failuresInFile === 0) {
      results.push({ test: resultMatch[2], hasPassed: false });
    }
  }
  if (child.exitCode === null) await once(child, 'exit');
  return { results, exitCode: child.exitCode };
};

/**
 * Tests of what a process uses at most. They run after all others, as garbage is collected late on a busy machine and their
 * bounds are of resident memory.
 */
const SEPARATE_FILES = ['platform/soak/dist/callerLimits.test.js'];
const SEPARATE_ARGS = [
  '--exclude=**/node_modules/**',
  ...SEPARATE_FILES.map((name) => `--exclude=${name}`),
];

/** Runs the named files, or all files and then those that run separately. */
const runAll = async (args) => {
  if (args.length > 0) return runTap(args);
  const first = await runTap(SEPARATE_ARGS);
  const last = await runTap(SEPARATE_FILES);
  return {
    results: [...first.results, ...last.results],
    exitCode: first.exitCode === 0 ? last.exitCode : first.exitCode,
  };
};

const knownRed = readKnownRed();
const { results, exitCode } = await runAll(process.argv.slice(2));
const failures = results.filter(({ hasPassed }) => !hasPassed);
const unknownFailures = failures.filter(({ test }) => !knownRed.some((red) => red.test === test));
for (const { line } of knownRed) console.log(`known red: ${line}`);
for (const { test } of unknownFailures) console.log(`failed: ${test}`);
const passed = results.length - failures.length;
const hasUnexplainedExit = exitCode !== 0 && failures.length === 0;
if (hasUnexplainedExit) console.log(`failed: the test runner ended with code ${exitCode}`);
console.log(`${passed} passed, ${unknownFailures.length} failed`);
process.exitCode = unknownFailures.length > 0 || hasUnexplainedExit || passed === 0 ? 1 : 0;
