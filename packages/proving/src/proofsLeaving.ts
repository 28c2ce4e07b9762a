import { processClock, toId, type EndpointId, type NodeId } from '@lovagearch/common';
import { computeWatchers } from '@lovagearch/membership';
import { setTimeout as waitMs } from 'node:timers/promises';
import { checkLeft, waitForArrivals } from './arrivals.js';
import { withDrainCluster, type DrainCluster, type DrainClusterOptions } from './drainCluster.js';
import type { ProofCase } from './proofCase.js';
import { ProofLoad, type LoadType } from './proofLoad.js';
import type { CallerFailure } from './streamReader.js';

/** Time for which the endpoint is observed after it started to leave, in milliseconds. */
const OBSERVED_MS = 6_000;
/** When a frozen node is continued; its view of the endpoint is out of date by then. */
const CONTINUE_AFTER_MS = 3_300;
/** A leaving stand-in stays up, so that it can count the calls that still arrive. */
const MIN_DRAIN_MS = 9_000;
const MAX_OFFSET_MS = 400;
const LIST_LAG_MS = 1_500;
const CALLERS = { stream: 6, long: 3, whole: 3, read: 2, claim: 1 };

interface Scene extends DrainCluster {
  readonly load: ProofLoad;
}

/** What one case does; each part waits as long as its fault needs. */
interface LeavingPlan {
  readonly options?: Partial<DrainClusterOptions>;
  /** Whether a claim may be refused as not run, because the owner of its run shard was killed. */
  readonly mayRefuseClaims?: boolean;
  /** Endpoints that leave. */
  readonly leaving: readonly string[];
  /** Takes what the fault will stop out of rotation. */
  readonly prepare?: (scene: Scene) => Promise<void>;
  /** Injects the fault around the moment at which the endpoints start to leave. */
  readonly inject?: (scene: Scene) => Promise<void>;
  /** Makes the endpoints leave and returns the time from then until it is visible. */
  readonly leave?: (scene: Scene) => Promise<number>;
  /** Runs while the endpoints are observed. */
  readonly observe?: (scene: Scene) => Promise<void>;
}

const sendSigterm = ({ cluster }: Scene, ids: readonly string[]): void => {
  for (const id of ids) cluster.getVm(id).process.kill('SIGTERM');
};

const runLeaving = async (plan: LeavingPlan, scene: Scene): Promise<string> => {
  const { cluster, load, random } = scene;
  for (const id of plan.leaving) await waitForArrivals(cluster, id, 5);
  await plan.prepare?.(scene);
  // The fault begins before or after the endpoint leaves.
  const isFaultFirst = random() < 0.5;
  if (isFaultFirst) await plan.inject?.(scene);
  if (isFaultFirst) await waitMs(random() * MAX_OFFSET_MS);
  let leftMs = processClock.nowMs();
  if (plan.leave === undefined) sendSigterm(scene, plan.leaving);
  else leftMs += await plan.leave(scene);
  if (!isFaultFirst) await waitMs(random() * MAX_OFFSET_MS);
  if (!isFaultFirst) await plan.inject?.(scene);
  await plan.observe?.(scene);
  await waitMs(Math.max(0, leftMs + OBSERVED_MS - processClock.nowMs()));
  const seen: string[] = [];
  for (const id of plan.leaving) seen.push(await checkLeft(cluster, id, leftMs));
  seen.push(await load.stop());
  return seen.join(', ');
};

const proveLeaving =
  (plan: LeavingPlan): ProofCase['run'] =>
  async ({ random }) => {
    const options = {
      entries: 6,
      engines: 4,
      services: 3,
      engine: { minDrainMs: MIN_DRAIN_MS },
      service: { minDrainMs: MIN_DRAIN_MS },
      ...plan.options,
    };
    return withDrainCluster(options, random, async (scene) => {
      const isAccepted = (type: LoadType, { type: error, run }: CallerFailure) =>
        plan.mayRefuseClaims === true &&
        type === 'claim' &&
        error === 'run_store_unavailable' &&
        run === 'not_run';
      const load = ProofLoad.start({ ...scene, callers: CALLERS, isAccepted });
      return runLeaving(plan, { ...scene, load });
    });
  };

const getFirstWatcher = ({ cluster }: DrainCluster, endpoint: string): string => {
  const { region } = cluster.getVm(endpoint);
  const members = cluster.listEntries().filter((entry) => entry.region === region);
  const ids = members.map(({ id }) => toId<NodeId>(id));
  const [first = ''] = computeWatchers(toId<EndpointId>(endpoint), ids.sort());
  return first;
};

/** Lets the load balancer stop sending to a node before the fault stops it. */
const removeFirstWatcher =
  (endpoint: string) =>
  async (scene: Scene): Promise<void> => {
    const watcher = getFirstWatcher(scene, endpoint);
    scene.load.removeTarget(watcher);
    await scene.load.waitQuiet(watcher);
  };

const stopFirstWatcher =
  (endpoint: string, signal: 'SIGKILL' | 'SIGSTOP') =>
  async (scene: Scene): Promise<void> => {
    scene.cluster.getVm(getFirstWatcher(scene, endpoint)).process.kill(signal);
  };

/** Continues the frozen node and sends requests through it at once. */
const continueFirstWatcher =
  (endpoint: string) =>
  async (scene: Scene): Promise<void> => {
    await waitMs(CONTINUE_AFTER_MS);
    const entry = scene.cluster.getVm(getFirstWatcher(scene, endpoint));
    entry.process.kill('SIGCONT');
    scene.load.addTarget(entry);
  };

const listAsLeaving =
  (ids: readonly string[]) =>
  async ({ cluster }: Scene): Promise<number> => {
    for (const id of ids) await cluster.updateVm(id, 'leaving');
    return LIST_LAG_MS;
  };

const cutNodes = async ({ cluster }: Scene): Promise<void> => {
  for (const entry of cluster.listEntries())
    cluster.proxies.get(`${entry.id}/peer`)?.setMode('silent');
};

/** Invariant 7: a leaving endpoint receives no new work after 3 s. */
export const LEAVING_PROOFS: readonly ProofCase[] = [
  {
    name: 'leaving-engine-sigterm',
    promise: 7,
    faults: ['engine drains'],
    isInTests: true,
    run: proveLeaving({ leaving: ['engine-0'] }),
  },
  {
    name: 'leaving-service-sigterm',
    promise: 7,
    faults: ['plain service drains'],
    isInTests: false,
    run: proveLeaving({ leaving: ['service-0'] }),
  },
  {
    name: 'leaving-in-vm-list-only',
    promise: 7,
    faults: ['lagging VM list is the only one to know'],
    isInTests: false,
    run: proveLeaving({
      options: { cluster: { platform: { vmListLagMs: LIST_LAG_MS } } },
      leaving: ['engine-1', 'service-1'],
      leave: listAsLeaving(['engine-1', 'service-1']),
    }),
  },
  {
    name: 'leaving-first-watcher-frozen',
    promise: 7,
    faults: ['engine drains', 'first watcher frozen for 3 s'],
    isInTests: false,
    run: proveLeaving({
      leaving: ['engine-0'],
      prepare: removeFirstWatcher('engine-0'),
      inject: stopFirstWatcher('engine-0', 'SIGSTOP'),
      observe: continueFirstWatcher('engine-0'),
    }),
  },
  {
    name: 'leaving-first-watcher-killed',
    promise: 7,
    faults: ['engine drains', 'first watcher killed'],
    isInTests: false,
    run: proveLeaving({
      mayRefuseClaims: true,
      leaving: ['engine-1'],
      prepare: removeFirstWatcher('engine-1'),
      inject: stopFirstWatcher('engine-1', 'SIGKILL'),
    }),
  },
  {
    name: 'leaving-nodes-cut-from-each-other',
    promise: 7,
    faults: ['engine and service drain', 'every node cut from its peers'],
    isInTests: false,
    run: proveLeaving({
      options: { cluster: { hasPeerProxies: true } },
      leaving: ['engine-0', 'service-0'],
      inject: cutNodes,
    }),
  },
  {
    name: 'leaving-watcher-killed-vm-list-down',
    promise: 7,
    faults: ['engine and service drain', 'first watcher killed', 'VM list down'],
    isInTests: false,
    run: proveLeaving({
      mayRefuseClaims: true,
      leaving: ['engine-0', 'service-1'],
      prepare: removeFirstWatcher('engine-0'),
      inject: async (scene) => {
        await scene.cluster.setFaults('platform', { vms: 'down' });
        await stopFirstWatcher('engine-0', 'SIGKILL')(scene);
      },
    }),
  },
  {
    name: 'leaving-in-vm-list-nodes-cut',
    promise: 7,
    faults: ['lagging VM list is the only one to know', 'every node cut from its peers'],
    isInTests: false,
    run: proveLeaving({
      options: { cluster: { hasPeerProxies: true, platform: { vmListLagMs: LIST_LAG_MS } } },
      leaving: ['engine-1'],
      leave: listAsLeaving(['engine-1']),
      inject: cutNodes,
    }),
  },
];
