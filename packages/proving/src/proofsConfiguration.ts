import { chooseItem, processClock, type Random } from '@lovagearch/common';
import { setTimeout as waitMs } from 'node:timers/promises';
import { request } from 'undici';
import { z } from 'zod';
import type { ClusterVm } from './cluster.js';
import { ConfigurationProof } from './configurationProof.js';
import { assertProof, type ProofCase } from './proofCase.js';
import { waitUntil } from './waiting.js';

const CONFLICT_EXIT_CODE = 3;
const RIVALS = 3;
/** Delay of the table that lets all rivals read the head before one of them writes it. */
const RIVAL_DELAY_MS = 900;
const FREEZE_MS = 6_000;
/** Longer than two reads of the head. */
const OLD_HEAD_MS = 9_000;
const START_TIMEOUT_MS = 14_000;
const HEAD_PATH = '/v1/rows/config%2Fhead';
const headSchema = z.object({ revision: z.number().int() });
const rowSchema = z.object({ value: z.unknown() });

const chooseEntry = ({ cluster, random }: ConfigurationProof): ClusterVm => {
  const entry = chooseItem(cluster.listEntries(), random);
  if (entry === undefined) throw new RangeError('no entry process');
  return entry;
};

const formatTime = (name: string, elapsedMs: number): string =>
  `${name} after ${(elapsedMs / 1_000).toFixed(1)} s`;

/** Several operators change one entry at the same time, another one changes another entry. */
const runConflict = async (proof: ConfigurationProof): Promise<string> => {
  const { cluster } = proof;
  await cluster.setFaults('platform', { table: 'slow', delayMs: RIVAL_DELAY_MS });
  const startMs = processClock.nowMs();
  const rivals = Array.from({ length: RIVALS }, async (_, index) =>
    proof.publish(`rival-${index}`, [proof.createAccount('shared', { maxConcurrent: 10 + index })]),
  );
  const other = proof.publishAccount('other');
  const results = await Promise.all(rivals);
  await other;
  await cluster.setFaults('platform', {});
  const winners = results.filter(({ exitCode }) => exitCode === 0);
  const losers = results.filter(({ exitCode }) => exitCode === CONFLICT_EXIT_CODE);
  const codes = results.map(({ exitCode }) => exitCode).join(', ');
  assertProof(winners.length === 1 && losers.length === RIVALS - 1, `exit codes ${codes}`);
  for (const { stderr, stdout } of losers) {
    const isClear = /account\/shared was changed by rival-\d in revision \d+/.test(stderr + stdout);
    assertProof(isClear, `the loser was told: ${stderr}${stdout}`);
  }
  const entries = cluster.listEntries();
  await proof.waitInForce('shared', entries, startMs);
  const elapsedMs = await proof.waitInForce('other', entries, startMs);
  const revision = await proof.checkSame(entries);
  return `exit codes ${codes}; ${formatTime(`revision ${revision} everywhere`, elapsedMs)}`;
};

const publishWithLostAnswer = async (proof: ConfigurationProof, name: string): Promise<void> => {
  await proof.cluster.setFaults('platform', { table: 'lost_answers', writesOnly: true });
  await proof.publishAccount(name);
  await proof.cluster.setFaults('platform', {});
};

const runLostAnswer = async (proof: ConfigurationProof): Promise<string> => {
  const startMs = processClock.nowMs();
  await publishWithLostAnswer(proof, 'second');
  const entries = proof.cluster.listEntries();
  const elapsedMs = await proof.waitInForce('second', entries, startMs);
  const revision = await proof.checkSame(entries);
  assertProof(revision === 2, `revision ${revision} after one further publication`);
  return formatTime('in force everywhere', elapsedMs);
};

/** Publishes, and takes the platform away as soon as the first node serves the new account. */
const publishBeforeOutage = async (proof: ConfigurationProof, name: string): Promise<ClusterVm> => {
  const published = proof.publishAccount(name);
  const first = await Promise.any(
    proof.cluster.listEntries().map(async (entry) => {
      await waitUntil(`${name} is in force at ${entry.id}`, START_TIMEOUT_MS, async () =>
        proof.isServing(entry, name),
      );
      return entry;
    }),
  );
  proof.cluster.platformProxy?.setMode('refuse');
  await published.catch(() => undefined);
  return first;
};

const runOutageAfterFirst = async (proof: ConfigurationProof): Promise<string> => {
  const startMs = processClock.nowMs();
  const first = await publishBeforeOutage(proof, 'second');
  const entries = proof.cluster.listEntries();
  const elapsedMs = await proof.waitInForce('second', entries, startMs);
  await proof.checkSame(entries);
  return `${first.id} knew it first; ${formatTime('everywhere', elapsedMs)}`;
};

/** Starts an entry process while the platform is down; its peers give it the configuration. */
const startWithoutPlatform = async (
  proof: ConfigurationProof,
  account: string,
): Promise<number> => {
  const { cluster } = proof;
  const startMs = processClock.nowMs();
  const started = await cluster.startEntry('entry-9', { region: 'south', zone: 'tainan' });
  const elapsedMs = await proof.waitInForce(account, [started], startMs);
  await proof.checkSame(cluster.listEntries());
  return elapsedMs;
};

const runStartInOutage = async (proof: ConfigurationProof): Promise<string> => {
  await proof.publishAccount('second');
  await proof.waitInForce('second', proof.cluster.listEntries());
  proof.cluster.platformProxy?.setMode('refuse');
  const elapsedMs = await startWithoutPlatform(proof, 'second');
  return formatTime('a new process served from its peers', elapsedMs);
};

const runOutageAndRestart = async (proof: ConfigurationProof): Promise<string> => {
  await publishBeforeOutage(proof, 'second');
  const killed = chooseEntry(proof);
  killed.process.kill('SIGKILL');
  await proof.cluster.updateVm(killed.id, 'gone');
  // The killed node may have been the only one that knew it; then the platform must come back.
  const rest = proof.cluster.listEntries();
  const known = await Promise.all(rest.map(async (entry) => proof.isServing(entry, 'second')));
  if (!known.includes(true)) proof.cluster.platformProxy?.setMode('pass');
  const elapsedMs = await startWithoutPlatform(proof, 'second');
  await proof.waitInForce('second', rest);
  return `${killed.id} killed; ${formatTime('a new process served', elapsedMs)}`;
};

const readHeadValue = async ({ cluster }: ConfigurationProof): Promise<unknown> => {
  const response = await request(`${cluster.platform.url()}${HEAD_PATH}`);
  return rowSchema.parse(await response.body.json()).value;
};

const writeHeadValue = async ({ cluster }: ConfigurationProof, value: unknown): Promise<void> => {
  const response = await request(`${cluster.platform.url()}${HEAD_PATH}`, {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ value, attemptId: 'restored-from-backup' }),
  });
  await response.body.dump();
};

const runOlderHead = async (proof: ConfigurationProof): Promise<string> => {
  const old = await readHeadValue(proof);
  await proof.publishAccount('second');
  const entries = proof.cluster.listEntries();
  await proof.waitInForce('second', entries);
  const revision = await proof.checkSame(entries);
  await writeHeadValue(proof, old);
  await waitMs(OLD_HEAD_MS);
  for (const entry of entries) {
    const status = await proof.readStatus(entry);
    assertProof(status.revision === revision, `${entry.id} is at revision ${status.revision}`);
    assertProof(await proof.isServing(entry, 'second'), `${entry.id} reverted`);
  }
  const restored = headSchema.parse(await readHeadValue(proof)).revision;
  assertProof(restored === revision, `the head is still at revision ${restored}`);
  const startMs = processClock.nowMs();
  await proof.publishAccount('third');
  const elapsedMs = await proof.waitInForce('third', entries, startMs);
  await proof.checkSame(entries);
  return `the older head was ignored and restored; ${formatTime('the next one', elapsedMs)}`;
};

/** Publishes while an entry process is frozen; it must follow after it continues. */
const runFrozen = async (
  proof: ConfigurationProof,
  publish: (name: string) => Promise<void>,
): Promise<string> => {
  const frozen = chooseEntry(proof);
  frozen.process.kill('SIGSTOP');
  const startMs = processClock.nowMs();
  await publish('second');
  const others = proof.cluster.listEntries().filter(({ id }) => id !== frozen.id);
  const elapsedMs = await proof.waitInForce('second', others, startMs);
  await waitMs(Math.max(0, FREEZE_MS - elapsedMs));
  frozen.process.kill('SIGCONT');
  const continuedMs = await proof.waitInForce('second', [frozen]);
  await proof.checkSame(proof.cluster.listEntries());
  return `${formatTime('others', elapsedMs)}, ${formatTime('the frozen one', continuedMs)}`;
};

const runOlderHeadAndFrozen = async (proof: ConfigurationProof): Promise<string> => {
  const old = await readHeadValue(proof);
  return runFrozen(proof, async (name) => {
    await proof.publishAccount(name);
    const [first] = proof.cluster.listEntries();
    if (first !== undefined) {
      await Promise.any(
        proof.cluster.listEntries().map(async (entry) => proof.waitInForce(name, [entry])),
      );
    }
    await writeHeadValue(proof, old);
  });
};

const createCase = (
  name: string,
  faults: readonly string[],
  run: (proof: ConfigurationProof) => Promise<string>,
  isInTests = false,
): ProofCase => ({
  name,
  promise: 9,
  faults,
  isInTests,
  run: async ({ random }: { readonly random: Random }) => ConfigurationProof.run(random, run),
});

/** Invariant 9: an accepted configuration is in force everywhere within 14 s and never reverts. */
export const CONFIGURATION_PROOFS: readonly ProofCase[] = [
  createCase('configuration-conflicting-operators', ['operators race'], runConflict),
  createCase('configuration-lost-answer', ['the answer is lost'], runLostAnswer, true),
  createCase(
    'configuration-outage-after-first-node',
    ['the platform goes down after one node learnt it'],
    runOutageAfterFirst,
  ),
  createCase('configuration-start-in-outage', ['the platform is down'], runStartInOutage),
  createCase('configuration-older-head', ['the store returns with an older head'], runOlderHead),
  createCase('configuration-entry-frozen', ['an entry process is frozen'], async (proof) =>
    runFrozen(proof, async (name) => proof.publishAccount(name)),
  ),
  createCase(
    'configuration-entry-frozen-and-lost-answer',
    ['an entry process is frozen', 'the answer is lost'],
    async (proof) => runFrozen(proof, async (name) => publishWithLostAnswer(proof, name)),
  ),
  createCase(
    'configuration-outage-and-restart',
    ['the platform goes down after one node learnt it', 'an entry process is killed'],
    runOutageAndRestart,
  ),
  createCase(
    'configuration-entry-frozen-and-older-head',
    ['an entry process is frozen', 'the store returns with an older head'],
    runOlderHeadAndFrozen,
  ),
];
