import type { Random } from '@lovagearch/common';
import { z } from 'zod';
import { CallerClient } from './callerClient.js';
import { Cluster, type ClusterOptions, type Place } from './cluster.js';
import {
  createAccountFile,
  createModelFile,
  createModelServiceFile,
  createPlainServiceFile,
  getAccountKey,
  type ConfigurationFile,
} from './deployments.js';
import { assertProof } from './proofCase.js';
import { waitUntil } from './waiting.js';

export const PROOF_MODEL = 'crop-8b';
export const MODEL_SERVICE = 'estimator';
export const PLAIN_SERVICE = 'ledger';
const ACCOUNT = 'jianan-01';
const CONVERGENCE_TIMEOUT_MS = 15_000;
const SOUTH: Place = { region: 'south', zone: 'chiayi' };
const NORTH: Place = { region: 'north', zone: 'taoyuan' };

export interface DrainClusterOptions {
  readonly entries: number;
  readonly engines: number;
  readonly services?: number;
  readonly cluster?: ClusterOptions;
  readonly engine?: object;
  readonly service?: object;
  /** Settings of the model service in its configuration file. */
  readonly modelService?: object;
}

/** A cluster in two regions that serves one model and one plain service, and a caller. */
export interface DrainCluster {
  readonly cluster: Cluster;
  readonly caller: CallerClient;
  readonly random: Random;
  readonly engines: readonly string[];
  readonly services: readonly string[];
  readonly options: DrainClusterOptions;
}

const endpointsSchema = z.object({
  endpoints: z.array(z.object({ id: z.string(), state: z.string(), confirmedAgeMs: z.number() })),
});
const membersSchema = z.object({
  members: z.array(z.object({ id: z.string(), state: z.string() })),
});

/** Every third VM is in the other region. */
export const getPlace = (index: number): Place => (index % 3 === 2 ? NORTH : SOUTH);

const listNames = (role: string, count: number): string[] =>
  Array.from({ length: count }, (_item, index) => `${role}-${index}`);

/** Configuration files of the cluster with a weight version of the model. */
export const createDrainFiles = (
  weightVersion: string,
  modelService: object = {},
): ConfigurationFile[] => [
  createModelServiceFile(MODEL_SERVICE, modelService),
  createPlainServiceFile(PLAIN_SERVICE, ['/claims']),
  createModelFile(PROOF_MODEL, MODEL_SERVICE, weightVersion),
  createAccountFile(ACCOUNT, [MODEL_SERVICE, PLAIN_SERVICE]),
];

/** Starts an engine that has the model's first weight version. */
export const startProofEngine = async (
  cluster: Cluster,
  id: string,
  place: Place,
  options: object = {},
): Promise<void> =>
  cluster.startEngine(id, place, MODEL_SERVICE, {
    models: [{ model: PROOF_MODEL, weightVersion: 'v1', adapters: [] }],
    ...options,
  });

/** Waits until every entry process sees all live endpoints as ready and all nodes as alive. */
export const waitConverged = async (cluster: Cluster): Promise<void> => {
  const vms = [...cluster.vms.values()].filter(({ state }) => state === 'live');
  const isEndpoint = ({ role }: { role: string }) => role === 'runner' || role === 'service';
  const endpointIds = vms.filter(isEndpoint).map(({ id }) => id);
  const entries = cluster.listEntries();
  for (const entry of entries) {
    await waitUntil(`${entry.id} sees the cluster`, CONVERGENCE_TIMEOUT_MS, async () => {
      const { endpoints } = endpointsSchema.parse(await cluster.readAdmin(entry, '/v1/endpoints'));
      const { members } = membersSchema.parse(await cluster.readAdmin(entry, '/v1/members'));
      const ready = endpoints.filter(({ state }) => state === 'ready').map(({ id }) => id);
      const alive = members.filter(({ state }) => state === 'alive').map(({ id }) => id);
      return (
        endpointIds.every((id) => ready.includes(id)) &&
        entries.every(({ id }) => alive.includes(id))
      );
    });
  }
};

const startParts = async (cluster: Cluster, options: DrainClusterOptions): Promise<void> => {
  const { entries, engines, services = 0, engine = {}, service = {} } = options;
  await Promise.all([
    ...listNames('engine', engines).map(async (id, index) =>
      startProofEngine(cluster, id, getPlace(index), engine),
    ),
    ...listNames('service', services).map(async (id, index) =>
      cluster.startService(id, getPlace(index), PLAIN_SERVICE, service),
    ),
  ]);
  const [first = '', ...others] = listNames('entry', entries);
  await cluster.startEntry(first, getPlace(0));
  await Promise.all(others.map(async (id, index) => cluster.startEntry(id, getPlace(index + 1))));
  const published = await cluster.publish(createDrainFiles('v1', options.modelService));
  assertProof(published.exitCode === 0, `publish failed: ${published.stderr}`);
  await cluster.waitReady();
  await waitConverged(cluster);
};

/**
 * Runs a proof on a cluster of its own, which is stopped in any case.
 *
 * @example
 * await withDrainCluster({ entries: 6, engines: 4 }, random, async (scene) => 'what was seen');
 */
export const withDrainCluster = async (
  options: DrainClusterOptions,
  random: Random,
  run: (scene: DrainCluster) => Promise<string>,
): Promise<string> => {
  const cluster = await Cluster.start(options.cluster);
  const caller = CallerClient.create(getAccountKey(ACCOUNT));
  try {
    await startParts(cluster, options);
    const engines = listNames('engine', options.engines);
    const services = listNames('service', options.services ?? 0);
    return await run({ cluster, caller, random, engines, services, options });
  } finally {
    await caller.close();
    await cluster.stop();
  }
};
