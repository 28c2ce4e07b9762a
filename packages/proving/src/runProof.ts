import { getErrorMessage, type Random } from '@lovagearch/common';
import { request } from 'undici';
import { z } from 'zod';
import { Cluster, type ClusterVm } from './cluster.js';
import { createAccountFile, createPlainServiceFile, getAccountKey } from './deployments.js';
import { KeyedCalls } from './keyedCalls.js';
import { assertProof, ProofError, type ProofContext } from './proofCase.js';
import {
  findRunPromiseViolations,
  findUnsettledCalls,
  type KeyedCall,
  type KeyedOutcome,
  type ServiceRun,
} from './runCheckers.js';
import { waitUntil } from './waiting.js';

export const RUN_PLACES = [
  { region: 'south', zone: 'chiayi' },
  { region: 'south', zone: 'tainan' },
  { region: 'south', zone: 'chiayi' },
] as const;

const SERVICE = 'ledger';
const ACCOUNT = 'jianan-01';
const INSTANCES = ['ledger-1', 'ledger-2'];
/** Time for which a plain service takes to run a call, so that calls are under way at a fault. */
const RUN_MS = 150;
const SERVING_TIMEOUT_MS = 20_000;
const HEALTHY_CALLS = 12;
const MAX_REPORTED_OUTCOMES = 5;
/** Longer than the faults of the table that may hold all calls back at the same time. */
const ACTIVE_TIMEOUT_MS = 20_000;

const runsSchema = z.array(
  z.object({
    idempotencyKey: z.string().nullable(),
    attempt: z.string().nullable(),
    count: z.number().int(),
  }),
);
const shardsSchema = z.object({ shards: z.array(z.number().int()) });

/** A cluster of a plain service under keyed calls. */
export interface RunProof {
  readonly cluster: Cluster;
  readonly random: Random;
  readonly calls: KeyedCalls;
  /** Logs of service instances that were killed. */
  readonly savedRuns: ServiceRun[];
  /** Entry processes that callers no longer use, such as one that is drained. */
  readonly hidden: Set<string>;
}

/** A fault of a run proof: injects itself, lasts, and ends itself. */
export interface RunFault {
  readonly name: string;
  readonly run: (proof: RunProof) => Promise<void>;
}

/** Reads the run log of an instance, not through its proxy. */
export const readRuns = async (vm: ClusterVm): Promise<ServiceRun[]> => {
  const response = await request(`${vm.process.url()}/control/runs`);
  return runsSchema.parse(await response.body.json());
};

const readActiveCalls = async (vm: ClusterVm): Promise<number> => {
  const response = await request(`${vm.process.url()}/health`);
  const health = z.object({ load: z.object({ active: z.number() }) });
  return health.parse(await response.body.json()).load.active;
};

/** Waits until an instance runs a call. */
export const waitBusy = async (vm: ClusterVm): Promise<void> => {
  const check = async (): Promise<boolean> => (await readActiveCalls(vm)) > 0;
  await waitUntil(`${vm.id} runs a call`, ACTIVE_TIMEOUT_MS, check);
};

/** Waits until an instance runs no call. */
export const waitIdle = async (vm: ClusterVm): Promise<void> => {
  const check = async (): Promise<boolean> => (await readActiveCalls(vm)) === 0;
  await waitUntil(`${vm.id} is idle`, ACTIVE_TIMEOUT_MS, check);
};

/** Returns the entry process that has most run shards in memory. */
export const findShardOwner = async ({ cluster }: RunProof): Promise<ClusterVm> => {
  const counted = await Promise.all(
    cluster.listEntries().map(async (entry) => {
      const { shards } = shardsSchema.parse(await cluster.readAdmin(entry, '/v1/runs'));
      return { entry, count: shards.length };
    }),
  );
  const [first] = counted.sort((a, b) => b.count - a.count);
  if (first === undefined) throw new RangeError('no entry process');
  return first.entry;
};

/** Starts the processes of a cluster and publishes its configuration. */
const startProcesses = async (cluster: Cluster): Promise<void> => {
  await Promise.all(
    INSTANCES.map(async (id, index) =>
      cluster.startService(id, RUN_PLACES[index] ?? RUN_PLACES[0], SERVICE),
    ),
  );
  await cluster.startEntry('entry-1', RUN_PLACES[0]);
  await cluster.startEntry('entry-2', RUN_PLACES[1]);
  await cluster.startEntry('entry-3', RUN_PLACES[2]);
  const published = await cluster.publish([
    createPlainServiceFile(SERVICE, ['/claims']),
    createAccountFile(ACCOUNT, [SERVICE]),
  ]);
  assertProof(published.exitCode === 0, `not published: ${published.stderr}`);
  for (const id of INSTANCES) await cluster.setFaults(id, { mode: 'slow', delayMs: RUN_MS });
  await cluster.waitReady();
};

/** Waits until each entry process runs a call with a new key. */
export const waitServing = async ({ calls, cluster }: RunProof, name: string): Promise<void> => {
  for (const entry of cluster.listEntries()) {
    const outcomes: KeyedOutcome[] = [];
    const check = async (): Promise<boolean> => {
      // The number of calls so far makes the key new.
      const key = `${name}-${entry.id}-${calls.calls.length}`;
      const { outcome } = await calls.send(cluster.getCallerUrl(entry), key);
      outcomes.push(outcome);
      return outcome.type === 'answered';
    };
    try {
      await waitUntil(`${entry.id} serves new calls`, SERVING_TIMEOUT_MS, check);
    } catch (error) {
      const last = JSON.stringify(outcomes.slice(-MAX_REPORTED_OUTCOMES));
      throw new ProofError(`${getErrorMessage(error)}; last outcomes: ${last}`);
    }
  }
};

const readAllRuns = async ({ cluster, savedRuns }: RunProof): Promise<ServiceRun[]> => {
  const services = [...cluster.vms.values()].filter(({ role }) => role === 'service');
  const runs = await Promise.all(services.map(async (vm) => readRuns(vm)));
  return [...savedRuns, ...runs.flat()];
};

const formatCounts = (calls: readonly KeyedCall[], runs: readonly ServiceRun[]): string => {
  const counts = new Map<string, number>();
  for (const { outcome } of calls) {
    const name = outcome.type === 'refused' ? outcome.run : outcome.type;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  const parts = [...counts].sort().map(([name, count]) => `${count} ${name}`);
  return `${calls.length} calls: ${parts.join(', ')}; ${runs.length} runs, each once`;
};

const checkRuns = async (proof: RunProof): Promise<string> => {
  const { calls } = proof;
  await waitServing(proof, 'after');
  await calls.stop();
  const unsettled = findUnsettledCalls(await calls.settle());
  const runs = await readAllRuns(proof);
  const [violation] = findRunPromiseViolations(runs, calls.calls);
  const about = calls.calls.filter(({ key }) => key === violation?.key);
  assertProof(violation === undefined, JSON.stringify({ violation, about: about.slice(0, 20) }));
  assertProof(
    unsettled.length === 0,
    `not settled after the faults: ${JSON.stringify(unsettled.slice(0, MAX_REPORTED_OUTCOMES))}`,
  );
  return formatCounts(calls.calls, runs);
};

/** Runs keyed calls while faults happen together, then checks what ran and what callers heard. */
export const runRunProof = async (
  { random }: ProofContext,
  faults: readonly RunFault[],
): Promise<string> => {
  const cluster = await Cluster.start({ hasProxies: true });
  const hidden = new Set<string>();
  const calls = KeyedCalls.create({
    accountKey: getAccountKey(ACCOUNT),
    path: `${SERVICE}/claims`,
    random,
    listUrls: () =>
      cluster
        .listEntries()
        .filter(({ id }) => !hidden.has(id))
        .map((entry) => cluster.getCallerUrl(entry)),
  });
  try {
    await startProcesses(cluster);
    calls.start();
    const proof: RunProof = { cluster, random, calls, savedRuns: [], hidden };
    await waitUntil('calls are answered', SERVING_TIMEOUT_MS, async () => {
      const answered = calls.calls.filter(({ outcome }) => outcome.type === 'answered');
      return answered.length >= HEALTHY_CALLS;
    });
    await Promise.all(faults.map(async (fault) => fault.run(proof)));
    return await checkRuns(proof);
  } finally {
    await cluster.stop();
    await calls.close();
  }
};
