import { setTimeout as waitMs } from 'node:timers/promises';
import { z } from 'zod';
import { getPlace, startProofEngine, withDrainCluster, type DrainCluster } from './drainCluster.js';
import { PLAIN_SERVICE, PROOF_MODEL } from './drainCluster.js';
import { assertProof, type ProofCase } from './proofCase.js';
import { ProofLoad, type AnsweredClaim } from './proofLoad.js';
import { createPrompt } from './prompts.js';

/** Time within which the load balancer stops sending to a draining node, in milliseconds. */
const BALANCER_DELAY_MS = 1_000;
const CALLERS = { stream: 5, long: 4, whole: 3, read: 2, claim: 2 };
/** Room for all prompts of a case, so that none is evicted. */
const ENGINE = { cacheTokens: 400_000 };
const RETURNING_PROMPTS = 6;
const RETURNING_TOKENS = 1_024;
const CHECKED_CLAIMS = 12;
/** Share of the returning prompts that must be found in a cache after the nodes were replaced. */
const LEAST_CACHED_SHARE = 0.8;
/** Added to each table call in the case of a slow table, in milliseconds. */
const SLOW_TABLE_MS = 400;

interface Scene extends DrainCluster {
  readonly load: ProofLoad;
}

const runsSchema = z.array(z.object({ idempotencyKey: z.string().nullable(), count: z.number() }));

/** Replaces an entry process as a rolling update does; it must end with code 0. */
const replaceEntry = async (scene: Scene, index: number): Promise<void> => {
  const { cluster, load, random } = scene;
  const entry = cluster.getVm(`entry-${index}`);
  entry.process.kill('SIGTERM');
  await cluster.updateVm(entry.id, 'leaving');
  await waitMs(random() * BALANCER_DELAY_MS);
  load.removeTarget(entry.id);
  const { code } = await entry.process.waitForExit();
  assertProof(code === 0, `${entry.id} ended with code ${code}`);
  await cluster.updateVm(entry.id, 'gone');
  const started = await cluster.startEntry(`entry-${index}-new`, getPlace(index));
  await cluster.waitReady();
  load.addTarget(started);
};

/** Replaces an engine: a new one is started, then the old one drains. */
const replaceEngine = async ({ cluster, options }: Scene, index: number): Promise<void> => {
  const engine = cluster.getVm(`engine-${index}`);
  await startProofEngine(cluster, `engine-${index}-new`, getPlace(index), options.engine);
  engine.process.kill('SIGTERM');
  await cluster.updateVm(engine.id, 'leaving');
  const { code } = await engine.process.waitForExit();
  assertProof(code === 0, `${engine.id} ended with code ${code}`);
  await cluster.updateVm(engine.id, 'gone');
};

const countRuns = async ({ cluster, services }: Scene): Promise<Map<string, number>> => {
  const counts = new Map<string, number>();
  for (const id of services) {
    const runs = runsSchema.parse(await cluster.readControl(id, 'runs'));
    for (const { idempotencyKey, count } of runs) {
      if (idempotencyKey === null) continue;
      counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + count);
    }
  }
  return counts;
};

/** Sends answered claims again: the nodes that are left must know their answers. */
const checkClaims = async (scene: Scene, claims: readonly AnsweredClaim[]): Promise<string> => {
  const { caller, cluster } = scene;
  const [entry] = cluster.listEntries();
  assertProof(entry !== undefined && claims.length > 0, 'no claim was answered');
  if (entry === undefined) return '';
  for (const { idempotencyKey, answer } of claims.slice(0, CHECKED_CLAIMS)) {
    const repeated = await caller.sendService(
      cluster.getCallerUrl(entry),
      `${PLAIN_SERVICE}/claims`,
      { idempotencyKey, body: { claim: idempotencyKey } },
    );
    const { failure } = repeated;
    assertProof(failure === undefined, `a known claim got ${failure?.type}: ${failure?.message}`);
    assertProof(JSON.stringify(repeated.body) === answer, 'a known claim got another answer');
  }
  const counts = await countRuns(scene);
  const repeats = claims.filter(({ idempotencyKey }) => counts.get(idempotencyKey) !== 1);
  assertProof(repeats.length === 0, `${repeats.length} of ${claims.length} claims ran not once`);
  return `${claims.length} claims ran once`;
};

const sendReturning = async (scene: DrainCluster, seed: number): Promise<number[]> => {
  const { caller, cluster } = scene;
  // Shorter prompts are not looked up in another region, so they return to the same one.
  const entries = cluster.listEntries().filter(({ region }) => region === 'south');
  const cached: number[] = [];
  for (let index = 0; index < RETURNING_PROMPTS; index++) {
    const entry = entries[index % entries.length];
    if (entry === undefined) break;
    const prompt = createPrompt(seed + index, RETURNING_TOKENS);
    const body = { model: PROOF_MODEL, prompt, max_tokens: 2, seed: 1 };
    const result = await caller.sendCompletion(cluster.getCallerUrl(entry), body);
    assertProof(result.isComplete, `a returning prompt failed: ${result.failure?.type}`);
    cached.push(result.usage?.prompt_tokens_details?.cached_tokens ?? 0);
  }
  return cached;
};

/** Sends the prompts again: the index entries must have been handed to the nodes that are left. */
const checkReturning = async (scene: Scene, seed: number): Promise<string> => {
  const cached = await sendReturning(scene, seed);
  const found = cached.filter((tokens) => tokens > 0).length;
  const isHeld = found >= RETURNING_PROMPTS * LEAST_CACHED_SHARE;
  assertProof(isHeld, `only ${found} of ${RETURNING_PROMPTS} returning prompts were found cached`);
  return `${found} of ${RETURNING_PROMPTS} prompts found again`;
};

interface ShutdownPlan {
  readonly entries: number;
  readonly engines: number;
  /** Whether returning prompts must be found in the engines' caches afterwards. */
  readonly checksIndex: boolean;
  readonly run: (scene: Scene) => Promise<void>;
}

const proveShutdown = (plan: ShutdownPlan): ProofCase['run'] => {
  const { entries, engines, checksIndex } = plan;
  return async ({ random, seed }) =>
    withDrainCluster({ entries, engines, services: 2, engine: ENGINE }, random, async (cluster) => {
      const promptSeed = seed * 1_000;
      if (checksIndex) await sendReturning(cluster, promptSeed);
      const load = ProofLoad.start({ ...cluster, callers: CALLERS });
      const scene = { ...cluster, load };
      await load.waitCompleted(20);
      await plan.run(scene);
      await load.waitCompleted(20);
      const seen = [await load.stop(), await checkClaims(scene, load.claims)];
      if (checksIndex) seen.push(await checkReturning(scene, promptSeed));
      return seen.join(', ');
    });
};

const replaceEntries =
  (count: number) =>
  async (scene: Scene): Promise<void> => {
    for (let index = 0; index < count; index++) await replaceEntry(scene, index);
  };

const replaceEngines =
  (count: number) =>
  async (scene: Scene): Promise<void> => {
    for (let index = 0; index < count; index++) await replaceEngine(scene, index);
  };

/** Invariant 8: a graceful shutdown interrupts no request. */
export const SHUTDOWN_PROOFS: readonly ProofCase[] = [
  {
    name: 'shutdown-one-entry-and-one-engine',
    promise: 8,
    faults: ['entry process and engine get SIGTERM at the same time'],
    isInTests: true,
    run: proveShutdown({
      entries: 3,
      engines: 3,
      checksIndex: false,
      run: async (scene) => {
        await Promise.all([replaceEntry(scene, 0), replaceEngine(scene, 0)]);
      },
    }),
  },
  {
    name: 'shutdown-entries-one-after-another',
    promise: 8,
    faults: ['all entry processes get SIGTERM in turn'],
    isInTests: false,
    run: proveShutdown({ entries: 3, engines: 4, checksIndex: false, run: replaceEntries(3) }),
  },
  {
    name: 'shutdown-engines-one-after-another',
    promise: 8,
    faults: ['all engines get SIGTERM in turn'],
    isInTests: false,
    run: proveShutdown({ entries: 3, engines: 3, checksIndex: false, run: replaceEngines(3) }),
  },
  {
    name: 'shutdown-two-entries-at-once',
    promise: 8,
    faults: ['two of four entry processes get SIGTERM at the same time'],
    isInTests: false,
    run: proveShutdown({
      entries: 4,
      engines: 4,
      checksIndex: false,
      run: async (scene) => {
        await Promise.all([replaceEntry(scene, 0), replaceEntry(scene, 1)]);
      },
    }),
  },
  {
    name: 'shutdown-index-entries-handed-over',
    promise: 8,
    faults: ['two of three entry processes of a region get SIGTERM in turn'],
    isInTests: false,
    run: proveShutdown({ entries: 4, engines: 4, checksIndex: true, run: replaceEntries(2) }),
  },
  {
    name: 'shutdown-entries-with-slow-table',
    promise: 8,
    faults: ['entry processes get SIGTERM in turn', 'table slow'],
    isInTests: false,
    run: proveShutdown({
      entries: 3,
      engines: 4,
      checksIndex: false,
      run: async (scene) => {
        const { cluster } = scene;
        await cluster.setFaults('platform', { table: 'slow', delayMs: SLOW_TABLE_MS });
        await replaceEntries(2)(scene);
        await cluster.setFaults('platform', {});
      },
    }),
  },
];
