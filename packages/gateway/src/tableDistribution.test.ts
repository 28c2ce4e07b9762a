import t from 'tap';
import { createRandom, getRendezvousOwners, type Random, SimulatedTime } from '@lovagearch/common';
import { type ReadResult, type RowBatch, TableMirror, type TableSource } from '@lovagearch/mirror';
import type { PeerRecord } from './clusterState.js';
import { PEER_TIMEOUT_MS } from './constants.js';
import { createTableFollower } from './createTableFollower.js';
import type { TableRelaySource } from './peerExchange.js';
import { TableRelay } from './tableRelay.js';
import { SimulatedLink } from './testSimulatedLink.js';
import type { TableNode } from './tableRole.js';
import {
  computeMaxRelayedAgeMs,
  computeOverdueAgeMs,
  createOperatorTableTiming,
} from './tableTiming.js';

/** Limits of the users' largest deployment, in milliseconds. */
const LIMITS = { configurationLimitMs: 4_000, contactLimitMs: 5_000, endpointLeaveLimitMs: 4_000 };
/** Time after a restart of all nodes within which each has the configuration, in milliseconds. */
const RESTART_LIMIT_MS = LIMITS.contactLimitMs;
const TIMING = createOperatorTableTiming(LIMITS);
/** A configuration of 1,400 routes, as the store sends it. */
const CONFIGURATION_BYTES = 500_000;
/** Factor by which peers compress it. */
const COMPRESSION_FACTOR = 8;
const MESSAGE_BYTES = 300;
const PACKET_BYTES = 16_384;
const ROUND_TRIP_MS = 20;
const START_SPREAD_MS = 300;
const KEY = 'config';

/** How a read of the store is limited. `whole` was the rule before, and shows what it leads to. */
type ReadLimit = 'progress' | 'whole';

interface Deployment {
  readonly name: string;
  readonly nodesPerZone: number;
  /** Of the link between the two regions, in each direction. */
  readonly bytesPerMs: number;
  /** Of the link of each node. */
  readonly nodeBytesPerMs: number;
}

const DEPLOYMENTS: readonly Deployment[] = [
  { name: '24 nodes, 8.75 Mbit/s', nodesPerZone: 4, bytesPerMs: 1_094, nodeBytesPerMs: 1_250 },
  { name: '66 nodes, 42 Mbit/s', nodesPerZone: 11, bytesPerMs: 5_250, nodeBytesPerMs: 875 },
  { name: '198 nodes, 105 Mbit/s', nodesPerZone: 33, bytesPerMs: 13_125, nodeBytesPerMs: 1_750 },
];
const REGIONS = ['near', 'far'];
const ZONES_PER_REGION = 3;

interface TransferLimits {
  /** Maximum time without a packet. */
  readonly gapMs: number;
  /** Maximum time of the whole transfer. */
  readonly totalMs: number;
}

/** Sends bytes over links; returns false if a limit was exceeded. */
const transfer = async (
  time: SimulatedTime,
  links: readonly SimulatedLink[],
  bytes: number,
  { gapMs, totalMs }: TransferLimits,
): Promise<boolean> => {
  const startMs = time.nowMs();
  for (let rest = bytes; rest > 0; rest -= PACKET_BYTES) {
    const packetStartMs = time.nowMs();
    for (const link of links) await link.sendPacket(Math.min(rest, PACKET_BYTES));
    if (time.nowMs() - packetStartMs > gapMs || time.nowMs() - startMs > totalMs) return false;
  }
  return true;
};

interface SimulatedNode extends TableNode {
  readonly link: SimulatedLink;
}

/** A node between its start and its stop. */
interface RunningNode {
  readonly mirror: TableMirror;
  readonly stop: () => void;
}

/** A deployment in two regions, with the store in the first, that follows one table. */
class SimulatedDeployment {
  readonly time = SimulatedTime.create();

  readonly nodes: SimulatedNode[] = [];

  readonly regionLink: SimulatedLink;

  readCount = 0;

  private version = 1;

  private bytes = MESSAGE_BYTES;

  private readonly running = new Map<string, RunningNode>();

  private readonly peers = new Map<string, PeerRecord>();

  private readonly regionByZone = new Map<string, string>();

  private constructor(
    private readonly deployment: Deployment,
    private readonly readLimit: ReadLimit,
    private readonly random: Random,
  ) {
    this.regionLink = SimulatedLink.create(this.time, deployment.bytesPerMs);
    for (const region of REGIONS)
      for (let zone = 0; zone < ZONES_PER_REGION; zone++) this.addZone(region, `${region}-${zone}`);
  }

  static create(deployment: Deployment, readLimit: ReadLimit, seed: number): SimulatedDeployment {
    return new SimulatedDeployment(deployment, readLimit, createRandom(seed));
  }

  /** Commits a configuration of a size. */
  commit(bytes: number): void {
    this.version += 1;
    this.bytes = bytes;
  }

  startAll(): void {
    for (const node of this.nodes)
      this.startNode(node, this.random() * START_SPREAD_MS).catch((error: unknown) =>
        t.fail(String(error)),
      );
  }

  stopAll(): void {
    for (const { stop } of this.running.values()) stop();
  }

  countNodesWithout(version: number): number {
    const hasVersion = ({ name }: SimulatedNode) =>
      (this.running.get(name)?.mirror.getRow(KEY)?.version ?? 0) >= version;
    return this.nodes.filter((node) => !hasVersion(node)).length;
  }

  private addZone(region: string, zone: string): void {
    const { nodesPerZone, nodeBytesPerMs } = this.deployment;
    this.regionByZone.set(zone, region);
    for (let index = 0; index < nodesPerZone; index++) {
      const name = `${zone}-${index}`;
      this.peers.set(name, { address: name, loadAddress: name, zone });
      this.nodes.push({
        name,
        zone,
        region,
        link: SimulatedLink.create(this.time, nodeBytesPerMs),
      });
    }
  }

  private async startNode(node: SimulatedNode, delayMs: number): Promise<void> {
    const { time, random } = this;
    await time.wait(delayMs);
    const mirror = TableMirror.create('op');
    const sharedMirror = TableMirror.create('shared');
    sharedMirror.applyBatch({ rows: [], version: 1, isPartial: false, ageMs: 0 }, time.nowMs());
    const relay: TableRelaySource = (address, cursors) =>
      this.copy(node, address, cursors[0]!.version);
    const maxCopyAgeMs = computeMaxRelayedAgeMs(LIMITS);
    const tableRelay = TableRelay.create({
      self: node,
      regionByZone: this.regionByZone,
      clusterState: {
        listPeers: () => this.peers.entries(),
        findPeer: (name) => this.peers.get(name),
      },
      mirrors: [mirror],
      sharedMirror,
      maxCopyAgeMs,
      relay,
      random,
      clock: time,
      log: { logStateChange: () => undefined },
      wait: time.wait,
    });
    const follower = createTableFollower(
      mirror,
      TIMING,
      {
        type: 'when_overdue',
        getOverdueAgeMs: () => tableRelay.maxRelayedAgeMs + computeOverdueAgeMs(TIMING),
      },
      {
        source: this.createStore(node),
        peers: {
          readChanges: async (_table, afterVersion): Promise<ReadResult> => {
            const [peer] = getRendezvousOwners(String(random()), [...this.peers.keys()], 1);
            const response = await this.copy(node, peer ?? '', afterVersion);
            const batch = typeof response === 'string' ? undefined : response.get('op');
            return batch === undefined
              ? { type: 'failure', failure: { type: 'unavailable', reason: 'peer' } }
              : { type: 'rows', batch };
          },
        },
        tableRelay,
        getNodeCount: () => this.nodes.length,
        clock: time,
        onEvent: () => undefined,
        wait: time.wait,
      },
    );
    const stop = () => {
      follower.stop();
      tableRelay.stop();
    };
    this.running.set(node.name, { mirror, stop });
    await Promise.all([follower.run(), tableRelay.run()]);
  }

  private createStore(node: SimulatedNode): TableSource {
    const { time } = this;
    const links = node.region === REGIONS[0] ? [node.link] : [this.regionLink, node.link];
    const read = async (after: number, waitMs: number, timeoutMs: number): Promise<ReadResult> => {
      this.readCount += 1;
      const deadlineMs = time.nowMs() + waitMs;
      while (this.version <= after && time.nowMs() < deadlineMs)
        await time.wait(Math.min(10, deadlineMs - time.nowMs()));
      await time.wait(ROUND_TRIP_MS);
      const { version } = this;
      const isChanged = version > after;
      const limits =
        this.readLimit === 'progress'
          ? { gapMs: timeoutMs, totalMs: 10_000 }
          : { gapMs: timeoutMs, totalMs: Math.max(0, deadlineMs - time.nowMs()) + timeoutMs };
      const bytes = MESSAGE_BYTES + (isChanged ? this.bytes : 0);
      if (!(await transfer(time, links, bytes, limits)))
        return { type: 'failure', failure: { type: 'unavailable', reason: 'timeout' } };
      const rows = isChanged ? [{ key: KEY, version, value: 'x' }] : [];
      return { type: 'rows', batch: { rows, version, isPartial: after > 0, ageMs: 0 } };
    };
    return {
      readAll: (_table, timeoutMs) => read(0, 0, timeoutMs),
      readChanges: (_table, after, waitMs, timeoutMs) => read(after, waitMs, timeoutMs),
    };
  }

  private async copy(
    node: SimulatedNode,
    address: string,
    afterVersion: number,
  ): Promise<ReadonlyMap<string, RowBatch> | string> {
    const { time } = this;
    await time.wait(ROUND_TRIP_MS / 2);
    const source = this.nodes.find(({ name }) => name === address);
    const mirror = this.running.get(address)?.mirror;
    if (source === undefined || mirror === undefined || mirror.version === 0) return 'no copy';
    const batch = mirror.createBatch(afterVersion, time.nowMs());
    const bytes = MESSAGE_BYTES + (batch.rows.length > 0 ? this.bytes / COMPRESSION_FACTOR : 0);
    const links = [source.link, ...(source.region === node.region ? [] : [this.regionLink])];
    const limits = { gapMs: PEER_TIMEOUT_MS, totalMs: 5_000 };
    return (await transfer(time, links, bytes, limits)) ? new Map([['op', batch]]) : 'timeout';
  }
}

const SEEDS = [1, 2];

for (const deployment of DEPLOYMENTS) {
  // Guards against reads of a large configuration that fill the link between regions, are given up and asked for
  // again, so that no node of the far region gets it: a key that was revoked meanwhile stayed in use there.
  t.test(`${deployment.name}: changes are in force in time behind a large one`, async (t2) => {
    for (const seed of SEEDS) {
      const simulation = SimulatedDeployment.create(deployment, 'progress', seed);
      const { time } = simulation;
      simulation.startAll();
      await time.runUntil(5_000);
      const bytesBefore = simulation.regionLink.sentBytes;
      const commits = [5_000, 6_400, 7_700];
      for (const atMs of commits) {
        await time.runUntil(atMs);
        simulation.commit(CONFIGURATION_BYTES);
      }
      for (const [index, atMs] of commits.entries()) {
        await time.runUntil(atMs + LIMITS.configurationLimitMs);
        t2.equal(simulation.countNodesWithout(index + 2), 0, `seed ${seed}, change ${index + 1}`);
      }
      const changesSent = (simulation.regionLink.sentBytes - bytesBefore) / CONFIGURATION_BYTES;
      t2.ok(
        changesSent < commits.length * 2.5,
        `seed ${seed}: ${changesSent.toFixed(1)} transfers`,
      );
      simulation.stopAll();
      await time.runUntil(60_000);
    }
  });

  // Guards against a restart of all nodes that does not end, as their first reads fill the link between regions.
  t.test(`${deployment.name}: all nodes have the configuration after a restart`, async (t2) => {
    for (const seed of SEEDS) {
      const simulation = SimulatedDeployment.create(deployment, 'progress', seed);
      const { time } = simulation;
      simulation.commit(CONFIGURATION_BYTES);
      simulation.startAll();
      await time.runUntil(RESTART_LIMIT_MS);
      t2.equal(simulation.countNodesWithout(2), 0, `seed ${seed}`);
      simulation.stopAll();
      await time.runUntil(60_000);
    }
  });
}

// The limit that the reads had before: a read that takes longer than its time is given up and starts again.
t.test('a limit on whole reads would leave nodes without a large configuration', async (t2) => {
  const countLate = async (readLimit: ReadLimit): Promise<number> => {
    const simulation = SimulatedDeployment.create(
      { name: 'slow link', nodesPerZone: 4, bytesPerMs: 600, nodeBytesPerMs: 1_250 },
      readLimit,
      1,
    );
    simulation.startAll();
    await simulation.time.runUntil(5_000);
    simulation.commit(CONFIGURATION_BYTES);
    await simulation.time.runUntil(5_000 + LIMITS.configurationLimitMs);
    const late = simulation.countNodesWithout(2);
    simulation.stopAll();
    await simulation.time.runUntil(60_000);
    return late;
  };
  t2.equal(await countLate('progress'), 0);
  t2.ok((await countLate('whole')) > 0);
});
