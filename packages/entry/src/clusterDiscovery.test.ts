import t, { type Test } from 'tap';
import {
  createLogger,
  createRandom,
  processClock,
  toId,
  type EndpointId,
  type NodeId,
  type ServiceId,
} from '@lovagearch/common';
import type { CacheEvent, EngineClient, EngineStatus } from '@lovagearch/engine-client';
import { WsPeerMesh } from '@lovagearch/peering';
import type { Vm, VmListClient } from '@lovagearch/platform-client';
import type { ServiceClient } from '@lovagearch/service-client';
import { errAsync, okAsync } from 'neverthrow';
import type { CacheEventBatch } from './cacheEventReader.js';
import { ClusterDiscovery } from './clusterDiscovery.js';
import type { EndpointView } from './types.js';

const SERVICE = toId<ServiceId>('estimator');
const log = createLogger('error');

const createStatus = (id: string): EngineStatus => ({
  endpointId: id,
  boot: 'boot-1',
  state: 'ready',
  role: 'both',
  models: [{ model: 'crop-8b', weightVersion: 'v1', adapters: [] }],
  loading: [],
  load: { queuedPromptTokens: 640, activeSequences: 2, cacheUse: 0.5, ageMs: 0 },
  fencing: 0,
  checksFencing: true,
});

interface RecordedBatch {
  readonly node: NodeId;
  readonly runner: EndpointId;
  readonly batch: CacheEventBatch;
}

interface TestNode {
  readonly id: NodeId;
  readonly mesh: WsPeerMesh;
  readonly cluster: ClusterDiscovery;
}

/** Nodes that communicate over real sockets, with in-memory runners. */
class TestCluster {
  readonly statuses = new Map<string, EngineStatus>();

  readonly events = new Map<string, CacheEvent[]>();

  readonly polls = new Map<string, Set<NodeId>>();

  readonly recordedBatches: RecordedBatch[] = [];

  readonly nodes: TestNode[] = [];

  statusReads = 0;

  private vms: Vm[] = [];

  static async create(t2: Test, counts: Readonly<Record<string, number>>): Promise<TestCluster> {
    const cluster = new TestCluster();
    for (const region of Object.keys(counts)) {
      for (let index = 0; index < 3; index++)
        cluster.addRunner(`${region}-runner-${index}`, region);
    }
    const meshes: { id: NodeId; region: string; mesh: WsPeerMesh }[] = [];
    for (const [region, count] of Object.entries(counts)) {
      for (let index = 0; index < count; index++) {
        const id = toId<NodeId>(`${region}-${index}`);
        const mesh = await WsPeerMesh.create({
          self: id,
          clusterKey: Buffer.from('key'),
          host: '127.0.0.1',
          port: 0,
          log,
        });
        meshes.push({ id, region, mesh });
        cluster.addVm(id, region, 'entry', { peer: mesh.port });
      }
    }
    for (const { id, mesh, region } of meshes) cluster.startNode(id, region, mesh);
    t2.teardown(async () => {
      for (const node of [...cluster.nodes]) await cluster.stopNode(node);
    });
    return cluster;
  }

  async stopNode(node: TestNode): Promise<void> {
    this.nodes.splice(this.nodes.indexOf(node), 1);
    await node.cluster.stop();
    await node.mesh.close();
  }

  listViews(id: string): (EndpointView | undefined)[] {
    return this.nodes.map(({ cluster }) => cluster.directory.getEndpoint(toId<EndpointId>(id)));
  }

  hasState(id: string, state: EndpointView['state']): boolean {
    return this.listViews(id).every((view) => view?.state === state);
  }

  private addVm(id: string, region: string, role: Vm['role'], ports: Vm['ports']): void {
    const host = role === 'entry' ? '127.0.0.1' : id;
    const service = role === 'runner' ? SERVICE : null;
    this.vms.push({ id, role, service, host, ports, zone: `${region}-1`, region, state: 'live' });
  }

  private addRunner(id: string, region: string): void {
    this.addVm(id, region, 'runner', { main: 1 });
    this.statuses.set(id, createStatus(id));
    this.events.set(id, []);
    this.polls.set(id, new Set());
  }

  private startNode(id: NodeId, region: string, mesh: WsPeerMesh): void {
    const vmList: VmListClient = { read: () => okAsync(this.vms), close: async () => undefined };
    const cluster = ClusterDiscovery.start({
      identity: { id, region: toId(region), zone: toId(`${region}-1`) },
      address: `127.0.0.1:${mesh.port}`,
      seeds: [],
      mesh,
      clock: processClock,
      random: createRandom(this.nodes.length),
      log,
      vmList,
      engines: this.createEngines(id),
      services: {} as ServiceClient,
      toAddress: (_service, url) => ({ url }),
      getPrefillRate: () => 8_000,
      handleCacheEvents: (runner, _boot, batch) =>
        this.recordedBatches.push({ node: id, runner, batch }),
    });
    this.nodes.push({ id, mesh, cluster });
  }

  private createEngines(node: NodeId): EngineClient {
    const engines: Pick<EngineClient, 'readCacheEvents' | 'readStatus'> = {
      readStatus: ({ url }) => {
        const { hostname } = new URL(url);
        this.statusReads++;
        this.polls.get(hostname)!.add(node);
        const status = this.statuses.get(hostname);
        return status === undefined
          ? errAsync({ type: 'not_connected', message: 'the runner is down' })
          : okAsync(status);
      },
      readCacheEvents: ({ url }, { seq }) => {
        const { hostname } = new URL(url);
        const events = this.events.get(hostname)!.filter((event) => event.seq > seq);
        const boot = this.statuses.get(hostname)?.boot ?? '';
        return okAsync({ boot, events, nextSeq: events[events.length - 1]?.seq ?? seq });
      },
    };
    return engines as EngineClient;
  }
}

/** Polls until the condition holds. The test runner's timeout ends a wait that never succeeds. */
const waitUntil = async (check: () => boolean): Promise<void> => {
  while (!check()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
};

/** Waits for `count` polls of every runner by both of its watchers, counted in total. */
const waitForPolls = async (cluster: TestCluster, count: number): Promise<void> => {
  const target = cluster.statusReads + count * 2 * cluster.statuses.size;
  await waitUntil(() => cluster.statusReads >= target);
};

/** Waits until all nodes know each other and all runners, and poll the runners they watch. */
const waitForFullView = async (cluster: TestCluster): Promise<void> => {
  await waitUntil(() =>
    cluster.nodes.every((node) => node.cluster.members.listLive().length === cluster.nodes.length),
  );
  await waitForPolls(cluster, 2);
  await waitUntil(() =>
    [...cluster.statuses.keys()].every((id) =>
      cluster
        .listViews(id)
        .every((view) => view?.state === 'ready' && view.models.length === 1 && view.boot !== ''),
    ),
  );
};

t.test(
  'every node learns the state of every runner, although only two nodes poll each one',
  async (t2) => {
    const cluster = await TestCluster.create(t2, { north: 4, south: 2 });
    await waitForFullView(cluster);
    await waitUntil(() =>
      cluster.listViews('north-runner-0').every((view) => view!.confirmedAgeMs < 3_000),
    );
    cluster.polls.forEach((nodes) => nodes.clear());
    await waitForPolls(cluster, 2);
    for (const [runner, nodes] of cluster.polls) t2.equal(nodes.size, 2, runner);
    const view = cluster.listViews('north-runner-0')[5]!;
    t2.match(view.load, { queuedPromptTokens: 640, activeSequences: 2 });
  },
);

t.test('all nodes learn that a runner is leaving before the VM list shows it', async (t2) => {
  const cluster = await TestCluster.create(t2, { north: 4, south: 2 });
  await waitForFullView(cluster);
  const startMs = performance.now();
  const status = cluster.statuses.get('north-runner-1')!;
  cluster.statuses.set('north-runner-1', { ...status, state: 'draining' });
  await waitUntil(() => cluster.hasState('north-runner-1', 'leaving'));
  t2.comment(`draining status reached all nodes after ${performance.now() - startMs} ms`);
  const markedMs = performance.now();
  cluster.nodes[5]!.cluster.directory.markLeaving(toId<EndpointId>('north-runner-2'));
  await waitUntil(() => cluster.hasState('north-runner-2', 'leaving'));
  t2.comment(
    `leaving notice from the data path reached all nodes after ${performance.now() - markedMs} ms`,
  );
});

t.test(
  'all nodes see a runner as dead, and a recovered one gets one trial request at a time',
  async (t2) => {
    const cluster = await TestCluster.create(t2, { north: 3 });
    const id = toId<EndpointId>('north-runner-0');
    await waitForFullView(cluster);
    const status = cluster.statuses.get(id)!;
    cluster.statuses.delete(id);
    await waitUntil(() => cluster.hasState(id, 'dead'));
    cluster.statuses.set(id, status);
    await waitUntil(() => cluster.hasState(id, 'ready'));
    const { directory } = cluster.nodes[0]!.cluster;
    t2.ok(directory.getEndpoint(id)!.confirmedAgeMs > 3_000);
    t2.same(await Promise.all([directory.verifyReady(id), directory.verifyReady(id)]), [
      true,
      false,
    ]);
    directory.updateLoad(id, status.load);
    const reads = cluster.statusReads;
    const joint = [directory.verifyReady(id), directory.verifyReady(id)];
    t2.equal(cluster.statusReads, reads + 1, 'concurrent checks share one call');
    t2.same(await Promise.all(joint), [true, true]);
  },
);

t.test(
  'a recovered endpoint is limited to a trial request until a response is recorded',
  async (t2) => {
    const cluster = await TestCluster.create(t2, { north: 3 });
    const id = toId<EndpointId>('north-runner-0');
    await waitForFullView(cluster);
    const status = cluster.statuses.get(id)!;
    cluster.statuses.delete(id);
    await waitUntil(() => cluster.hasState(id, 'dead'));
    cluster.statuses.set(id, status);
    await waitUntil(() => cluster.hasState(id, 'ready'));
    const { directory } = cluster.nodes[0]!.cluster;
    t2.same(await Promise.all([directory.verifyReady(id), directory.verifyReady(id)]), [
      true,
      false,
    ]);
    directory.reportResponse(id);
    t2.ok(directory.getEndpoint(id)!.confirmedAgeMs <= 3_000);
    t2.same(await Promise.all([directory.verifyReady(id), directory.verifyReady(id)]), [
      true,
      true,
    ]);
  },
);

t.test('one watcher at a time reads cache events, and reports gaps and restarts', async (t2) => {
  const cluster = await TestCluster.create(t2, { north: 3 });
  const runner = toId<EndpointId>('north-runner-0');
  await waitForFullView(cluster);
  const listBatches = (type: CacheEventBatch['type'], node?: NodeId): RecordedBatch[] =>
    cluster.recordedBatches.filter(
      (read) =>
        read.runner === runner &&
        read.batch.type === type &&
        (node === undefined || read.node === node),
    );
  const [first, second] = cluster.nodes[0]!.cluster.getWatchers(runner);
  cluster.recordedBatches.length = 0;
  cluster.events.get(runner)!.push({ seq: 1, type: 'evicted', keys: ['a'] });
  cluster.events.get(runner)!.push({ seq: 3, type: 'evicted', keys: ['b'] });
  await waitUntil(() => listBatches('events').length >= 2);
  t2.same(new Set(listBatches('events').map(({ node }) => node)), new Set([first]));
  t2.match(listBatches('gap')[0]!.batch, { afterSeq: 1, nextSeq: 3 });
  await cluster.stopNode(cluster.nodes.find(({ id }) => id === first)!);
  await waitUntil(() => listBatches('events', second).length > 0);
  cluster.statuses.set(runner, { ...cluster.statuses.get(runner)!, boot: 'boot-2' });
  await waitUntil(() =>
    listBatches('new_boot', second).some(
      ({ batch }) => batch.type === 'new_boot' && batch.previous === 'boot-1',
    ),
  );
});
