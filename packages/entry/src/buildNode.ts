import { randomInt } from 'node:crypto';
import { setTimeout as waitMs } from 'node:timers/promises';
import {
  createId,
  createRandom,
  getRendezvousOwners,
  Metrics,
  processClock,
  toId,
  type EndpointId,
  type Logger,
  type NodeId,
  type Region,
  type Zone,
} from '@lovagearch/common';
import { HttpEngineClient } from '@lovagearch/engine-client';
import { WsPeerMesh } from '@lovagearch/peering';
import { HttpObjectClient, HttpTableClient, HttpVmListClient } from '@lovagearch/platform-client';
import { HttpServiceClient } from '@lovagearch/service-client';
import type { ProcessSettings } from '@lovagearch/settings';
import { HttpStoreClient } from '@lovagearch/store-client';
import { AdmissionController } from './admissionController.js';
import { ConfigurationFollower } from './configurationFollower.js';
import { ContainmentController } from './containmentController.js';
import { FollowedConfiguration } from './followedConfiguration.js';
import { LocalDirectory } from './localDirectory.js';
import { LocalMembers } from './localMembers.js';
import { PrefixWatch } from './prefixWatch.js';
import { PromptIndexNode } from './promptIndexNode.js';
import { NodeRunCoordinator } from './runCoordinator.js';
import { RunShardOwner } from './runShardOwner.js';
import { RunShardRouter } from './runShardRouter.js';
import { computeServiceCapacity } from './serviceCapacity.js';
import { startEntry } from './startEntry.js';
import { StoreWatch } from './storeWatch.js';
import type { NodeIdentity } from './types.js';
import { chooseWeightVersion } from './weightVersions.js';

/** Nodes that watch each endpoint and store VM. */
const WATCHER_COUNT = 2;
const RETENTION_MS = 72 * 3_600_000;

/** A running node with its ports. */
export interface RunningNode {
  readonly id: NodeId;
  readonly ports: { readonly caller: number; readonly admin: number; readonly peer: number };
  /** Drains and stops the node. */
  readonly stop: () => Promise<void>;
}

const createClients = ({ platform }: ProcessSettings) => ({
  table: HttpTableClient.create({ url: platform.tableUrl }),
  objects: HttpObjectClient.create({ url: platform.objectUrl }),
  vmList: HttpVmListClient.create({ url: platform.vmListUrl }),
  engines: HttpEngineClient.create(),
  services: HttpServiceClient.create(),
  stores: HttpStoreClient.create(),
});

/**
 * Puts the parts of a node together and starts them.
 *
 * @example
 * const node = await buildNode(settings, createLogger('info'));
 * await node.stop();
 */
export const buildNode = async (settings: ProcessSettings, log: Logger): Promise<RunningNode> => {
  const identity: NodeIdentity = {
    id: toId<NodeId>(settings.nodeName ?? createId<NodeId>('node')),
    region: toId<Region>(settings.region),
    zone: toId<Zone>(settings.zone),
  };
  const clock = processClock;
  const random = createRandom(randomInt(2 ** 31));
  const clients = createClients(settings);
  const { host } = settings.listen;
  const mesh = await WsPeerMesh.create({
    self: identity.id,
    clusterKey: Buffer.from(settings.clusterKey),
    host,
    port: settings.listen.peerPort,
    log,
  });
  const members = await LocalMembers.start(identity, mesh, clients.vmList, log);
  const follower = ConfigurationFollower.create({
    table: clients.table,
    objects: clients.objects,
    mesh,
    listPeers: () => members.listLive().filter((node) => node !== identity.id),
    random,
    log: log.withTag('configuration'),
  });
  await follower.start();
  const toAddress = (service: string, url: string) => {
    const checksCaller = follower.view.getService(service)?.checksCaller ?? true;
    return checksCaller ? { url, serviceToken: settings.serviceToken } : { url };
  };
  const directory = await LocalDirectory.start({ ...clients, clock, log, toAddress });
  const getWatchers = (endpoint: EndpointId): readonly NodeId[] => {
    const region = directory.getEndpoint(endpoint)?.region ?? identity.region;
    return getRendezvousOwners(endpoint, members.listLive(region), WATCHER_COUNT);
  };
  const index = PromptIndexNode.create({
    mesh,
    region: identity.region,
    listRegions: members.listRegions,
    listMembers: members.listLive,
    getWatchers,
  });
  const prefixes = PrefixWatch.create({
    mesh,
    engine: clients.engines,
    index,
    directory,
    clock,
    log: log.withTag('prefixes'),
    getAddress: ({ service, url }) => toAddress(service, url),
    getWatchers,
    listRegionMembers: members.listLive,
    getStoreSpeeds: (service) => {
      const found = follower.view.getService(service);
      return found?.type === 'model' ? found : undefined;
    },
  });
  const stores = StoreWatch.create({
    mesh,
    stores: clients.stores,
    index,
    directory,
    clock,
    log: log.withTag('stores'),
    listRegions: members.listRegions,
    getWatchers,
    retentionMs: RETENTION_MS,
  });
  const runOwner = RunShardOwner.create({
    ...clients,
    shards: settings.runShards,
    mesh,
    clock,
    log: log.withTag('runs'),
    listLiveMembers: members.listLive,
  });
  const router = RunShardRouter.create({
    shards: settings.runShards,
    mesh,
    owner: runOwner,
    clock,
    listLiveMembers: members.listLive,
    wait: async (pauseMs) => waitMs(pauseMs),
  });
  const runs = NodeRunCoordinator.create({
    router,
    objects: clients.objects,
    clock,
    log: log.withTag('runs'),
    self: identity.id,
  });
  const configuration = FollowedConfiguration.create({
    getView: () => follower.view,
    chooseVersion: ({ id, service, weightVersion }) =>
      chooseWeightVersion(id, weightVersion, directory.listEndpoints(service), random),
  });
  const admission = AdmissionController.create({
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
    listRegionMembers: () => members.listLive(identity.region),
    countLiveNodes: () => members.listLive().length,
  });
  const containment = ContainmentController.create({
    mesh,
    clock,
    log: log.withTag('containment'),
    listLiveMembers: members.listLive,
    markFaulty: directory.markLeaving,
  });
  const entry = await startEntry(
    {
      ...settings,
      host,
      callerPort: settings.listen.callerPort,
      adminPort: settings.listen.adminPort,
    },
    {
      ...clients,
      identity,
      clock,
      random,
      log,
      metrics: Metrics.create(settings.statsd),
      configuration,
      directory,
      index,
      runs,
      admission,
      containment,
      readers: {
        configuration: () => follower.getStatus(),
        members: () => ({ members: members.listLive() }),
        endpoints: () => ({ endpoints: directory.listAll() }),
        stores: () => ({ stores: stores.listFills() }),
        accounts: () => ({ accounts: [] }),
        runs: () => ({ shards: runOwner.listShards() }),
        quarantine: () => ({ entries: containment.listEntries() }),
      },
      background: [index, prefixes, stores, runs, runOwner, follower, directory, members],
    },
  );
  const stop = async (): Promise<void> => {
    await entry.stop();
    await Promise.all([clients.table.close(), clients.objects.close(), clients.vmList.close()]);
    await Promise.all([clients.stores.close(), mesh.close()]);
  };
  const ports = { caller: entry.callerPort, admin: entry.adminPort, peer: mesh.port };
  return { id: identity.id, ports, stop };
};
