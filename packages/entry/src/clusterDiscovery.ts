import {
  BoundedMap,
  type Clock,
  type EndpointId,
  type Logger,
  type NodeId,
  type Random,
  type ServiceId,
} from '@lovagearch/common';
import type { EngineAddress, EngineClient } from '@lovagearch/engine-client';
import { computeWatchers, LoadTable, MAX_SOURCES, type ZoneCapacity } from '@lovagearch/membership';
import type { PeerMesh } from '@lovagearch/peering';
import type { Vm, VmListClient } from '@lovagearch/platform-client';
import type { ServiceClient } from '@lovagearch/service-client';
import type { CacheEventHandler } from './cacheEventReader.js';
import { EndpointDetailsFetcher } from './endpointDetailsFetcher.js';
import { LoadDisseminator } from './loadDisseminator.js';
import { ClusterEndpointDirectory } from './clusterEndpointDirectory.js';
import { ClusterMembership } from './clusterMembership.js';
import { StartupReadiness } from './startupReadiness.js';
import { RegionSummary } from './regionSummary.js';
import { VmListPoller } from './vmListPoller.js';
import { EndpointPoller } from './endpointPoller.js';
import type { NodeIdentity, NodeComponent } from './types.js';

export interface ClusterDiscoveryOptions {
  /** Its `id` is this node's id in the VM list. */
  readonly identity: NodeIdentity;
  /** `host:port` at which the other nodes reach this one. */
  readonly address: string;
  readonly seeds: readonly string[];
  readonly mesh: PeerMesh;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly vmList: VmListClient;
  readonly engines: EngineClient;
  readonly services: ServiceClient;
  readonly toAddress: (service: ServiceId, url: string) => EngineAddress;
  /** Returns the prefill rate of a service's runners, in prompt tokens per second. */
  readonly getPrefillRate: (service: ServiceId) => number;
  readonly handleCacheEvents?: CacheEventHandler;
}

/** Discovers the other nodes and the endpoints, and tracks their state and load. */
export class ClusterDiscovery implements NodeComponent {
  private components: readonly NodeComponent[] = [];

  private constructor(
    private readonly options: ClusterDiscoveryOptions,
    readonly members: ClusterMembership,
    readonly directory: ClusterEndpointDirectory,
    private readonly capacities: BoundedMap<NodeId, readonly ZoneCapacity[]>,
    private readonly readiness: StartupReadiness,
  ) {}

  /**
   * Starts all components. The caller keeps ownership of the mesh and the clients.
   *
   * @example
   * const cluster = ClusterDiscovery.start({ identity, mesh, vmList, engines, services, ... });
   * cluster.directory.listEndpoints(service);
   */
  static start(options: ClusterDiscoveryOptions): ClusterDiscovery {
    const { clock, identity } = options;
    const table = LoadTable.create();
    const members = ClusterMembership.start(options);
    // The components refer to each other. Messages are handled only after all of them exist.
    let dissemination: LoadDisseminator | undefined;
    const directory = ClusterEndpointDirectory.create({
      ...options,
      table,
      sendDataPathRow: (row) => dissemination?.sendDataPathRow(row),
    });
    const capacities = BoundedMap.create<NodeId, readonly ZoneCapacity[]>(MAX_SOURCES);
    const readiness = StartupReadiness.create(clock, directory.listAll);
    const cluster = new ClusterDiscovery(options, members, directory, capacities, readiness);
    const watchers = EndpointPoller.start({
      ...options,
      self: identity.id,
      listTargets: () => directory.listRecords().filter(({ region }) => region === identity.region),
      listActive: () => members.listActive(identity.region),
      handleDetails: directory.applyDetails,
      handleChange: (row) => dissemination?.sendStateChange(row),
    });
    const view = RegionSummary.create(directory, identity.region, clock, options.getPrefillRate);
    dissemination = LoadDisseminator.start({
      ...options,
      table,
      listActive: members.listActive,
      listRegions: members.listRegions,
      listOwnRows: () => watchers.listRows(),
      listRegionRows: view.listRows,
      countRegionEndpoints: view.countEndpoints,
      listCapacities: view.listCapacities,
      handleCapacities: (from, list) => capacities.set(from, list),
    });
    const details = EndpointDetailsFetcher.start({
      ...options,
      endpoints: directory,
      listNodes: () => members.listMembers().map(({ id }) => id),
      listActive: members.listActive,
    });
    const vmList = VmListPoller.start({
      ...options,
      client: options.vmList,
      listActive: members.listLive,
      listRegions: members.listRegions,
      handleVms: (vms) => cluster.applyVms(vms),
    });
    cluster.components = [vmList, watchers, dissemination, details, members];
    return cluster;
  }

  /** Returns the nodes of its region that watch an endpoint or a store VM, first watcher first. */
  readonly getWatchers = (id: EndpointId): readonly NodeId[] => {
    const region = this.directory.getRegion(id);
    return region === undefined ? [] : computeWatchers(id, this.members.listActive(region));
  };

  /** Returns the latest capacities from nodes of other regions, by sending node. */
  readonly listCapacities = (): ReadonlyMap<NodeId, readonly ZoneCapacity[]> =>
    new Map(this.capacities);

  /** Tells whether this node knows enough endpoints to receive requests. */
  readonly isReady = (): boolean => this.readiness.check();

  readonly stop = async (): Promise<void> => {
    for (const part of this.components) await part.stop();
  };

  private applyVms(vms: readonly Vm[]): void {
    const { directory, members, options } = this;
    const listLeaving = (): EndpointId[] =>
      directory
        .listRecords()
        .filter(({ isLeavingInVmList }) => isLeavingInVmList)
        .map(({ id }) => id);
    const knownLeaving = new Set(listLeaving());
    members.applyVms(vms);
    directory.applyVms(vms);
    this.readiness.recordVmList();
    // Other nodes may have read an older list, so the watchers announce the change.
    for (const id of listLeaving()) {
      if (knownLeaving.has(id)) continue;
      if (this.getWatchers(id).includes(options.identity.id)) directory.markLeaving(id);
    }
  }
}
