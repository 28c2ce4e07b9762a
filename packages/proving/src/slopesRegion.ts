import {
  createLogger,
  createRandom,
  ManualClock,
  toId,
  type NodeId,
  type Random,
  type Region,
  type Zone,
} from '@lovagearch/common';
import type { EngineClient, EngineStatus } from '@lovagearch/engine-client';
import { errAsync, ClusterDiscovery, okAsync } from '@lovagearch/entry/nodeParts';
import { MemoryMesh, MemoryNetwork, type PeerMesh } from '@lovagearch/peering';
import type { Vm } from '@lovagearch/platform-client';
import type { ServiceClient } from '@lovagearch/service-client';
import { runTimers, startManualTimers, stopManualTimers } from './slopesTimers.js';

const STEP_MS = 50;
/** Time in which each load may change once; the cycle of a large region. */
const LOAD_PERIOD_MS = 2_000;
/** Models and model services of the simulation; one model for each service. */
export const MODELS = 11;
const ZONES_PER_REGION = 2;
/** Nodes start one after the other over this time, so that their timers don't fire together. */
const START_SPREAD_MS = 4_000;
const log = createLogger('error');

export interface SimulationSize {
  readonly nodesPerRegion: number;
  readonly runnersPerRegion: number;
  readonly regions: number;
  /** Share of the runners whose load changes in each 2 s. */
  readonly changeShare: number;
  readonly seed: number;
}

/** A node of the simulation. */
export interface SimulatedNode {
  readonly id: NodeId;
  readonly region: string;
  readonly mesh: MemoryMesh;
  readonly cluster: ClusterDiscovery;
}

const getRegionName = (region: number): string => `region-${region}`;
const getZoneName = (region: number, index: number): string =>
  `zone-${region}-${index % ZONES_PER_REGION}`;

const createVm = (role: 'entry' | 'runner', region: number, index: number): Vm => {
  const name = `${role}-${region}-${index}`;
  const ports: Record<string, number> =
    role === 'entry'
      ? { caller: 8_000, admin: 8_001, peer: 10_000 + region * 1_000 + index }
      : { main: 20_000 + region * 1_000 + index };
  return {
    id: name,
    role,
    service: role === 'runner' ? `service-${index % MODELS}` : null,
    host: `10.${region}.${index >> 8}.${index & 255}`,
    ports,
    zone: getZoneName(region, index),
    region: getRegionName(region),
    state: 'live',
  };
};

/** Creates the VM list of a system of this size. */
export const createVmList = ({
  nodesPerRegion,
  regions,
  runnersPerRegion,
}: Pick<SimulationSize, 'nodesPerRegion' | 'regions' | 'runnersPerRegion'>): Vm[] => {
  const vms: Vm[] = [];
  for (let region = 0; region < regions; region++) {
    for (let index = 0; index < nodesPerRegion; index++) vms.push(createVm('entry', region, index));
    for (let index = 0; index < runnersPerRegion; index++) {
      vms.push(createVm('runner', region, index));
    }
  }
  return vms;
};

/**
 * Nodes of one or more regions inside this process: the product's members, watchers, load
 * dissemination and endpoint directory over a `MemoryNetwork`, with runners that exist as values
 * only. Timers and the clock are moved by hand, so that minutes take seconds.
 */
export class Simulation {
  readonly nodes: SimulatedNode[] = [];

  readonly clock = ManualClock.create(1_000);

  private readonly network = MemoryNetwork.create();

  private readonly vms: readonly Vm[];

  private readonly random: Random;

  private readonly statuses = new Map<string, { period: number; status: EngineStatus }>();

  private readonly byUrl = new Map<string, string>();

  private constructor(private readonly size: SimulationSize) {
    this.random = createRandom(size.seed);
    this.vms = createVmList(size);
    for (const { id, host, ports } of this.vms) {
      this.byUrl.set(`http://${host}:${ports.main ?? 0}`, id);
    }
  }

  /** Starts the nodes of the first `runningRegions` regions; the others are VMs in the list only. */
  static async start(size: SimulationSize, runningRegions = size.regions): Promise<Simulation> {
    startManualTimers();
    const simulation = new Simulation(size);
    const running = simulation.vms.filter(
      ({ role, region }) =>
        role === 'entry' && Number(region.slice('region-'.length)) < runningRegions,
    );
    let startedMs = 0;
    for (const [index, vm] of running.entries()) {
      simulation.startNode(vm);
      const dueMs = ((index + 1) * START_SPREAD_MS) / running.length;
      const stepMs = Math.floor(dueMs - startedMs);
      startedMs += stepMs;
      await simulation.runStep(stepMs);
    }
    return simulation;
  }

  /** Lets simulated time pass. */
  async runFor(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) await this.runStep(STEP_MS);
  }

  /** Stops a node without a word, as a crash does. */
  async removeNode(node: SimulatedNode): Promise<void> {
    await node.mesh.close();
    this.nodes.splice(this.nodes.indexOf(node), 1);
  }

  stop(): void {
    stopManualTimers();
  }

  private async runStep(stepMs: number): Promise<void> {
    this.clock.addMs(stepMs);
    await runTimers(stepMs);
  }

  private startNode(vm: Vm): void {
    const id = toId<NodeId>(vm.id);
    const memory = MemoryMesh.create(id, this.network);
    const byAddress = new Map(
      this.vms.map((item) => [`${item.host}:${item.ports.peer ?? 0}`, toId<NodeId>(item.id)]),
    );
    const mesh: PeerMesh = {
      ...memory,
      identifyPeer: (address: string) => {
        const node = byAddress.get(address);
        const isUp = node !== undefined && this.network.getReceiver(id, node) !== undefined;
        return isUp ? okAsync(node) : errAsync({ type: 'unknown_peer' });
      },
    };
    const cluster = ClusterDiscovery.start({
      identity: { id, region: toId<Region>(vm.region), zone: toId<Zone>(vm.zone) },
      address: `${vm.host}:${vm.ports.peer ?? 0}`,
      seeds: [],
      mesh,
      clock: this.clock,
      random: createRandom(Math.floor(this.random() * 2 ** 31)),
      log,
      vmList: { read: () => okAsync(this.vms), close: async () => undefined },
      engines: this.createEngines(),
      services: {} as ServiceClient,
      toAddress: (_service, url) => ({ url }),
      getPrefillRate: () => 8_000,
    });
    this.nodes.push({ id, region: vm.region, mesh: memory, cluster });
  }

  private createEngines(): EngineClient {
    const readStatus: EngineClient['readStatus'] = ({ url }) =>
      okAsync(this.getStatus(this.byUrl.get(url) ?? ''));
    return { readStatus } as EngineClient;
  }

  private getStatus(id: string): EngineStatus {
    const period = Math.floor(this.clock.nowMs() / LOAD_PERIOD_MS);
    const known = this.statuses.get(id);
    if (known?.period === period) return known.status;
    const isSame = known !== undefined && this.random() >= this.size.changeShare;
    const status = isSame ? known.status : this.createStatus(id);
    this.statuses.set(id, { period, status });
    return status;
  }

  private createStatus(id: string): EngineStatus {
    const model = `model-${Number(id.split('-')[2]) % MODELS}`;
    return {
      endpointId: id,
      boot: 'boot-1',
      state: 'ready',
      role: 'both',
      models: [{ model, weightVersion: 'v1', adapters: [] }],
      loading: [],
      load: {
        queuedPromptTokens: Math.floor(this.random() * 16_000),
        activeSequences: Math.floor(this.random() * 24),
        cacheUse: this.random(),
        ageMs: 0,
      },
      fencing: 1,
      checksFencing: true,
    };
  }
}
