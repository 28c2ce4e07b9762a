import { z } from 'zod';
import {
  createDrainFiles,
  waitConverged,
  withDrainCluster,
  type DrainCluster,
  type DrainClusterOptions,
} from './drainCluster.js';
import type { FaultProxy } from './faultProxy.js';
import { assertProof, type ProofCase } from './proofCase.js';
import { ProofLoad, type LoadType } from './proofLoad.js';
import type { CallerFailure } from './streamReader.js';
import { waitUntil } from './waiting.js';

const CALLERS = { stream: 4, long: 3, whole: 2, read: 2, claim: 2 };
const REQUESTS_BEFORE = 30;
/** Requests that must complete after the silence; they show that the service goes on. */
const REQUESTS_AFTER = 150;
/** Time within which an accepted configuration is in force everywhere. */
const CONFIGURATION_LIMIT_MS = 14_000;

interface Scene extends DrainCluster {
  readonly load: ProofLoad;
}

interface SilencePlan {
  readonly options?: Partial<DrainClusterOptions>;
  readonly callers?: Partial<Record<LoadType, number>>;
  readonly isAccepted?: (type: LoadType, failure: CallerFailure) => boolean;
  readonly listProxies: (scene: Scene) => (FaultProxy | undefined)[];
  /** What must work afterwards beside the requests. */
  readonly check?: (scene: Scene) => Promise<string>;
}

const configurationSchema = z.object({ revision: z.number() });

/** Makes all connections of the proxies that are open now silent for good; returns their number. */
const silenceConnections = (proxies: readonly (FaultProxy | undefined)[]): number => {
  let silenced = 0;
  for (const proxy of proxies) {
    silenced += proxy?.connectionCount ?? 0;
    proxy?.setMode('silent_existing');
  }
  return silenced;
};

const proveSilence = (plan: SilencePlan): ProofCase['run'] => {
  const options = { entries: 3, engines: 3, services: 3, ...plan.options };
  return async ({ random }) =>
    withDrainCluster(options, random, async (cluster) => {
      const { callers = CALLERS, isAccepted } = plan;
      const load = ProofLoad.start({
        ...cluster,
        callers,
        ...(isAccepted === undefined ? {} : { isAccepted }),
      });
      const scene = { ...cluster, load };
      await load.waitCompleted(REQUESTS_BEFORE);
      const silenced = silenceConnections(plan.listProxies(scene));
      assertProof(silenced > 0, 'no connection was open');
      await load.waitCompleted(REQUESTS_AFTER);
      const checked = plan.check === undefined ? '' : `, ${await plan.check(scene)}`;
      return `${silenced} connections silent, ${await load.stop()}${checked}`;
    });
};

const listEndpointProxies =
  (role: string) =>
  ({ cluster }: Scene): FaultProxy[] =>
    [...cluster.proxies].filter(([name]) => name.startsWith(role)).map(([, proxy]) => proxy);

const checkPublication = async ({ cluster, options }: Scene): Promise<string> => {
  const files = createDrainFiles('v1', { ...options.modelService, retentionHours: 24 });
  const published = await cluster.publish(files, 'second');
  assertProof(published.exitCode === 0, `publish failed: ${published.stderr}`);
  let slowestMs = 0;
  for (const entry of cluster.listEntries()) {
    const name = `revision 2 is in force at ${entry.id}`;
    const tookMs = await waitUntil(name, CONFIGURATION_LIMIT_MS, async () => {
      const status = await cluster.readAdmin(entry, '/v1/configuration');
      return configurationSchema.parse(status).revision >= 2;
    });
    slowestMs = Math.max(slowestMs, tookMs);
  }
  return 'a publication came into force everywhere';
};

/** Connections that are open go silent for good while new ones work. */
export const SILENT_PROOFS: readonly ProofCase[] = [
  {
    name: 'silent-connections-to-engines',
    promise: 4,
    faults: ['all connections to engines go silent'],
    isInTests: true,
    run: proveSilence({
      options: { services: 0, cluster: { hasProxies: true } },
      callers: { stream: 4, long: 4, whole: 2 },
      listProxies: listEndpointProxies('engine'),
    }),
  },
  {
    name: 'silent-connections-to-services',
    promise: 4,
    faults: ['all connections to plain services go silent'],
    isInTests: false,
    run: proveSilence({
      options: { cluster: { hasProxies: true } },
      callers: { stream: 3, read: 4, claim: 3 },
      // A claim that was on its way may have run; its outcome is unknown, which is true.
      isAccepted: (type, { run, type: error }) =>
        type === 'claim' && error === 'outcome_unknown' && run === 'unknown',
      listProxies: listEndpointProxies('service'),
    }),
  },
  {
    name: 'silent-connections-to-platform',
    promise: 9,
    faults: ['all connections to the platform go silent'],
    isInTests: false,
    run: proveSilence({
      options: { cluster: { hasPlatformProxy: true } },
      // A claim whose record was on its way is refused as not run.
      isAccepted: (type, { run, type: error }) =>
        type === 'claim' && error === 'run_store_unavailable' && run === 'not_run',
      listProxies: ({ cluster }) => [cluster.platformProxy],
      check: checkPublication,
    }),
  },
  {
    name: 'silent-connections-between-nodes',
    promise: 4,
    faults: ['all connections between nodes go silent'],
    isInTests: false,
    run: proveSilence({
      options: { cluster: { hasPeerProxies: true } },
      isAccepted: (type, { run, type: error }) =>
        type === 'claim' && error === 'run_store_unavailable' && run === 'not_run',
      listProxies: ({ cluster }) =>
        [...cluster.proxies].filter(([name]) => name.endsWith('/peer')).map(([, proxy]) => proxy),
      check: async ({ cluster }) => {
        await waitConverged(cluster);
        return 'all nodes see each other';
      },
    }),
  },
  {
    name: 'silent-connections-to-engines-and-between-nodes',
    promise: 4,
    faults: ['all connections to engines go silent', 'all connections between nodes go silent'],
    isInTests: false,
    run: proveSilence({
      options: { services: 0, cluster: { hasProxies: true, hasPeerProxies: true } },
      callers: { stream: 4, long: 4, whole: 2 },
      listProxies: ({ cluster }) => [...cluster.proxies.values()],
    }),
  },
];
