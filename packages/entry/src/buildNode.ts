import { randomInt } from 'node:crypto';
import {
  createId,
  getErrorMessage,
  createRandom,
  Metrics,
  MS_PER_SECOND,
  processClock,
  toId,
  type Logger,
  type NodeId,
  type Region,
  type Zone,
} from '@lovagearch/common';
import type { EngineAddress } from '@lovagearch/engine-client';
import { LinkBudget } from '@lovagearch/routing';
import { WsPeerMesh } from '@lovagearch/peering';
import type { ProcessSettings } from '@lovagearch/settings';
import { AdmissionController } from './admissionController.js';
import { ConfigurationFollower } from './configurationFollower.js';
import { ContainmentController } from './containmentController.js';
import { ContainmentPuller } from './containmentPuller.js';
import { excludeFaultyEndpoints } from './faultyEndpointFilter.js';
import { CallerConfigurationAdapter } from './callerConfigurationAdapter.js';
import { listAccounts, listStores } from './adminLists.js';
import { createClientCloser, createNodeClients } from './nodeClients.js';
import {
  createInstrumentedAdmission,
  createInstrumentedContainment,
  createInstrumentedRunCoordinator,
} from './instrumentation.js';
import { ClusterDiscovery } from './clusterDiscovery.js';
import { openListener } from './listenAddress.js';
import type { NodeContext } from './nodeContext.js';
import { createPromptReuse, type PromptReuse } from './promptReuse.js';
import { createNodeRuns } from './nodeRuns.js';
import { computeServiceCapacity } from './serviceCapacity.js';
import { startEntry } from './startEntry.js';
import type { NodeIdentity } from './types.js';
import { chooseWeightVersion } from './weightVersions.js';

/** Prefill rate that is assumed for a service until its configuration is known, in tokens/s. */
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 8_000;

/** A running node with the ports on which it listens. */
export interface RunningNode {
  readonly id: NodeId;
  readonly ports: { readonly caller: number; readonly admin: number; readonly peer: number };
  /** Drains the node, then stops it. */
  readonly stop: () => Promise<void>;
}

const createIdentity = ({ nodeName, region, zone }: ProcessSettings): NodeIdentity => ({
  id: nodeName === undefined ? createId<NodeId>('node') : toId<NodeId>(nodeName),
  region: toId<Region>(region),
  zone: toId<Zone>(zone),
});

const startCluster = (
  { clients, clock, identity, log, mesh, random, settings, follower }: NodeContext,
  address: string,
  toAddress: (service: string, url: string) => EngineAddress,
  handleCacheEvents: PromptReuse['handleCacheEvents'],
): ClusterDiscovery =>
  ClusterDiscovery.start({
    ...clients,
    identity,
    address,
    seeds: settings.seeds,
    mesh,
    clock,
    random,
    log,
    toAddress,
    getPrefillRate: (service) => {
      const found = follower.view.getService(service);
      return found?.type === 'model'
        ? found.prefillTokensPerSecond
        : DEFAULT_PREFILL_TOKENS_PER_SECOND;
    },
    handleCacheEvents,
  });

const createAdmissionController = (
  { clock, follower, identity, mesh }: NodeContext,
  configuration: CallerConfigurationAdapter,
  { directory, members }: ClusterDiscovery,
): AdmissionController =>
  AdmissionController.create({
    mesh,
    clock,
    getAccountLimits: (account) =>
      follower.view.getAccount(account) ?? { promptTokensPerSecond: 0, maxConcurrent: 0 },
    getServiceCapacity: (service) =>
      computeServiceCapacity(
        configuration.findService(service),
        directory.listEndpoints(service),
        members.listLive().length,
      ),
    listRegionMembers: () => members.listActive(identity.region),
    countLiveNodes: () => members.listLive().length,
  });

/**
 * Creates and starts the components of a node.
 *
 * @example
 * const node = await buildNode(settings, createLogger('info'));
 * await node.stop();
 */
export const buildNode = async (settings: ProcessSettings, log: Logger): Promise<RunningNode> => {
  const identity = createIdentity(settings);
  const clock = processClock;
  const random = createRandom(randomInt(2 ** 31));
  const clients = createNodeClients(settings);
  const { host, callerPort, adminPort, peerPort } = settings.listen;
  const clusterKey = Buffer.from(settings.clusterKey);
  const createMesh = () =>
    WsPeerMesh.create({ self: identity.id, clusterKey, host, port: peerPort, log });
  // A predecessor closes its peer listener last, so that two nodes of one name are never members at once.
  const mesh = await openListener('peer', peerPort, createMesh, {
    ...settings,
    host,
    clock,
    log: log.withTag('entry'),
  });
  // The components refer to each other through callbacks, which run only after all are created.
  let cluster: ClusterDiscovery | undefined;
  const getCluster = (): ClusterDiscovery => {
    if (cluster === undefined) throw new TypeError('the cluster has not been started');
    return cluster;
  };
  const listPeers = (): readonly NodeId[] =>
    cluster?.members.listLive().filter((node) => node !== identity.id) ?? [];
  const follower = ConfigurationFollower.create({
    ...clients,
    mesh,
    listPeers,
    random,
    log: log.withTag('configuration'),
  });
  const context = { settings, identity, clock, random, log, mesh, clients, follower };
  const toAddress = (service: string, url: string): EngineAddress => {
    const checksCaller = follower.view.getService(service)?.checksCaller ?? true;
    return checksCaller ? { url, serviceToken: settings.serviceToken } : { url };
  };
  let reuse: PromptReuse | undefined;
  cluster = startCluster(
    context,
    settings.peerAddress ?? `${host}:${mesh.port}`,
    toAddress,
    (runner, boot, batch) => reuse?.handleCacheEvents(runner, boot, batch),
  );
  const { directory, members } = cluster;
  reuse = createPromptReuse({
    context,
    directory,
    listActive: members.listActive,
    listRegions: members.listRegions,
    getWatchers: (endpoint) => getCluster().getWatchers(endpoint),
    toAddress,
  });
  const runs = createNodeRuns(context, members.listLive, members.isPresent);
  const configuration = CallerConfigurationAdapter.create({
    getView: () => follower.view,
    resolveWeightVersion: ({ id, service, weightVersion }) =>
      chooseWeightVersion(id, weightVersion, directory.listEndpoints(service), random),
  });
  const admission = createAdmissionController(context, configuration, cluster);
  const containment = ContainmentController.create({
    mesh,
    clock,
    log: log.withTag('containment'),
    listLiveMembers: members.listLive,
  });
  const metrics = Metrics.create(settings.statsd);
  const containmentPull = ContainmentPuller.start({
    ...context,
    listLiveMembers: members.listLive,
    ...containment,
  });
  await follower.start();
  const { index, stores } = reuse;
  const entry = await startEntry(
    { ...settings, host, callerPort, adminPort },
    {
      ...clients,
      ...context,
      metrics,
      configuration,
      directory: excludeFaultyEndpoints(directory, (id) => containment.isFaulty(id)),
      index,
      runs: createInstrumentedRunCoordinator(runs.coordinator, metrics),
      admission: createInstrumentedAdmission(admission, metrics),
      containment: createInstrumentedContainment(containment, metrics),
      routingPolicy: settings.routingPolicy,
      linkBudget: LinkBudget.create(settings.linkBytesPerSecond, clock.nowMs()),
      isReady: cluster.isReady,
      handleDrainStart: () => {
        members.markLeaving();
        // Other nodes query the next owners from now on, long before this node stops.
        index.handOverEntries().catch((error: unknown) => log.error(getErrorMessage(error)));
      },
      listTopicTraffic: () => mesh.listTopicTraffic(),
      readers: {
        configuration: () => follower.getStatus(),
        members: () => ({ members: members.listMembers() }),
        endpoints: () => ({ endpoints: directory.listAll() }),
        stores: () => ({ stores: listStores(members.listRegions(), directory, stores) }),
        accounts: () => ({ accounts: listAccounts(follower.view, admission) }),
        runs: () => ({ shards: runs.owner.listShards() }),
        quarantine: () => ({ entries: containment.listEntries() }),
      },
      backgroundComponents: [
        ...runs.parts,
        ...reuse.components,
        follower,
        admission,
        containmentPull,
        containment,
        cluster,
        createClientCloser(clients),
        { stop: async () => mesh.close() },
      ],
    },
  );
  log.withTag('entry').debug(`Started after ${Math.round(clock.nowMs() / MS_PER_SECOND)} s.`);
  const ports = { caller: entry.callerPort, admin: entry.adminPort, peer: mesh.port };
  return { id: identity.id, ports, stop: entry.stop };
};
