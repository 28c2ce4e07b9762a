import { chooseItem, type Random } from '@lovagearch/common';
import { setTimeout as waitMs } from 'node:timers/promises';
import type { CallerResult } from './callerClient.js';
import type { ClusterVm } from './cluster.js';
import { ContainmentProof } from './containmentProof.js';
import { assertProof, type ProofCase } from './proofCase.js';
import { waitUntil } from './waiting.js';

const CRASH_TEXT = 'crashes-the-engine';
const REPEATS = 12;
const INNOCENTS = 8;
/** Tokens of innocent requests, so that they still run at the crash. */
const LONG_ANSWER_TOKENS = 200;
const SERVED_TIMEOUT_MS = 20_000;
/** Crashes of one endpoint with distinct requests after which the endpoint is held responsible. */
const ENDPOINT_CRASHES = 3;
/** Reports within 3 s count as one crash. */
const CRASH_SPACING_MS = 3_200;

const getFailure = (result: CallerResult | undefined): string =>
  result?.failure?.type ?? (result === undefined ? 'no answer' : `status ${result.status}`);

const isServed = (result: CallerResult | undefined): boolean =>
  result?.isComplete === true && result.failure === undefined;

const chooseEntry = ({ cluster, random }: ContainmentProof): ClusterVm => {
  const entry = chooseItem(cluster.listEntries(), random);
  if (entry === undefined) throw new RangeError('no entry process');
  return entry;
};

/** Sends the crashing prompt through every entry process; all of them must refuse it. */
const checkRefused = async (proof: ContainmentProof, prompt: string): Promise<void> => {
  const entries = proof.cluster.listEntries();
  for (let count = 0; count < REPEATS; count++) {
    const entry = entries[count % entries.length];
    if (entry === undefined) break;
    const failure = getFailure(await proof.send(entry, prompt));
    assertProof(failure === 'request_quarantined', `${entry.id} answered ${failure}`);
  }
};

const waitServed = async (proof: ContainmentProof, prompt: string): Promise<void> => {
  let last: string | undefined;
  const check = async (): Promise<boolean> => {
    const result = await proof.send(chooseEntry(proof), prompt);
    last = getFailure(result);
    return isServed(result);
  };
  try {
    await waitUntil('an innocent request is served', SERVED_TIMEOUT_MS, check);
  } catch {
    assertProof(false, `an innocent request was never served; last answer: ${last}`);
  }
};

/** One prompt that crashes each engine is sent again and again through all entry processes. */
const runRepeated = async (proof: ContainmentProof): Promise<string> => {
  await proof.setCrashText(CRASH_TEXT);
  const prompt = `please ${CRASH_TEXT} ${proof.random()}`;
  const first = getFailure(await proof.send(chooseEntry(proof), prompt));
  await proof.waitNews('quarantined');
  await checkRefused(proof, prompt);
  const dead = await proof.listDead();
  assertProof(dead.length === 1, `${dead.length} engines are lost: ${dead.join(', ')}`);
  await waitServed(proof, 'an innocent request of the same account');
  return `first answer ${first}; 1 engine of 4 lost, ${REPEATS} repeats refused`;
};

/** Innocent requests run on the engine that dies; they are served in the end, the guilty one not. */
const runInnocents = async (proof: ContainmentProof): Promise<string> => {
  const innocents = Array.from({ length: INNOCENTS }, (_, index) => `innocent request ${index}`);
  const running = innocents.map(async (prompt) =>
    proof.send(chooseEntry(proof), prompt, LONG_ANSWER_TOKENS),
  );
  await proof.setCrashText(CRASH_TEXT);
  const prompt = `please ${CRASH_TEXT} ${proof.random()}`;
  await proof.send(chooseEntry(proof), prompt);
  const results = await Promise.all(running);
  const [dead, ...others] = await proof.listDead();
  assertProof(dead !== undefined && others.length === 0, `${others.length + 1} engines lost`);
  await proof.restart(dead ?? '', CRASH_TEXT);
  for (const innocent of innocents) await waitServed(proof, innocent);
  const servedAtOnce = results.filter(isServed).length;
  for (let count = 0; count < REPEATS; count++) await proof.send(chooseEntry(proof), prompt);
  await proof.waitNews('quarantined');
  await checkRefused(proof, prompt);
  const deadAfter = await proof.listDead();
  assertProof(
    deadAfter.every((id) => id === dead),
    `engines lost: ${deadAfter.join(', ')}`,
  );
  return `${servedAtOnce} of ${INNOCENTS} innocent requests served at once, all in the end; only ${dead} lost`;
};

/** Sends distinct prompts until a runner is dead; returns the one that it ran. */
const sendUntilDead = async (
  proof: ContainmentProof,
  id: string,
  prefix: string,
): Promise<string> => {
  for (let count = 0; count < 64; count++) {
    const prompt = `${prefix} number ${count} ${proof.random()}`;
    await proof.send(chooseEntry(proof), prompt);
    if ((await proof.listDead()).includes(id)) return prompt;
  }
  assertProof(false, `${id} got no request`);
  return '';
};

/** One engine crashes with any request: it is taken out, and its requests are served elsewhere. */
const runFaultyEndpoint = async (proof: ContainmentProof): Promise<string> => {
  const id = 'runner-1';
  const crashed: string[] = [];
  for (let count = 0; count < ENDPOINT_CRASHES; count++) {
    if (count > 0) await proof.restart(id, 'request');
    else await proof.setCrashText('request', [id]);
    crashed.push(await sendUntilDead(proof, id, `request ${count}`));
    if (count < ENDPOINT_CRASHES - 1) await waitMs(CRASH_SPACING_MS);
  }
  for (const prompt of crashed) await waitServed(proof, prompt);
  const dead = await proof.listDead();
  assertProof(dead.join() === id, `engines lost: ${dead.join(', ')}`);
  await proof.restart(id, 'request');
  for (let count = 0; count < REPEATS; count++) {
    const result = await proof.send(chooseEntry(proof), `request after ${count}`);
    assertProof(isServed(result), `a request after the news got ${getFailure(result)}`);
  }
  assertProof((await proof.listDead()).length === 0, 'the faulty endpoint got work again');
  return `${crashed.length} requests that crashed ${id} were served elsewhere; it got no more work`;
};

/** A node that starts after the crash must learn of the quarantine before it costs an engine. */
const runNewEntry = async (proof: ContainmentProof): Promise<string> => {
  await proof.setCrashText(CRASH_TEXT);
  const prompt = `please ${CRASH_TEXT} ${proof.random()}`;
  await proof.send(chooseEntry(proof), prompt);
  await proof.waitNews('quarantined');
  const killed = chooseEntry(proof);
  killed.process.kill('SIGKILL');
  await proof.cluster.updateVm(killed.id, 'gone');
  await proof.startEntry('entry-9');
  await proof.waitNews('quarantined');
  await checkRefused(proof, prompt);
  const dead = await proof.listDead();
  assertProof(dead.length === 1, `${dead.length} engines are lost: ${dead.join(', ')}`);
  return '1 engine of 4 lost; the new process refused the request';
};

const createCase = (
  name: string,
  faults: readonly string[],
  run: (proof: ContainmentProof) => Promise<string>,
  isInTests = false,
): ProofCase => ({
  name,
  promise: 'containment',
  faults,
  isInTests,
  run: async ({ random }: { readonly random: Random }) => ContainmentProof.run(random, run),
});

/** Containment: one request or one endpoint does not take down the others (design 4.12). */
export const CONTAINMENT_PROOFS: readonly ProofCase[] = [
  createCase('containment-repeated-request', ['a request crashes each engine'], runRepeated, true),
  createCase('containment-innocent-requests', ['a request crashes its engine'], runInnocents),
  createCase(
    'containment-faulty-endpoint',
    ['an engine crashes with any request'],
    runFaultyEndpoint,
  ),
  createCase(
    'containment-request-and-new-entry',
    ['a request crashes each engine', 'an entry process is killed and replaced'],
    runNewEntry,
  ),
];
