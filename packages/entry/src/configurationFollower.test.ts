import { createLogger, createRandom, type NodeId, toId } from '@lovagearch/common';
import {
  type ConfigurationEntry,
  type ConfigurationHead,
  createBundle,
  createHead,
  EMPTY_BUNDLE,
  encodeBundle,
  getBundleObjectName,
  modelSchema,
} from '@lovagearch/configuration';
import type { PeerHandler, PeerMesh } from '@lovagearch/peering';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import t from 'tap';
import { ConfigurationFollower } from './configurationFollower.js';

const SEED = Number(process.env.SEED ?? Date.now() % 1e9);
const NODE_COUNT = 9;

class FakeStore {
  isDown = false;

  revision = 0;

  writeCount = 0;

  readonly bundles = [EMPTY_BUNDLE];

  publish(weightVersion: string): void {
    const service = { kind: 'service', name: 's', type: 'model' } as ConfigurationEntry;
    const model = modelSchema.parse({ kind: 'model', name: 'm', service: 's', weightVersion });
    const changes = new Map<string, ConfigurationEntry>([
      ['service/s', service],
      ['model/m', model],
    ]);
    this.bundles.push(createBundle(this.bundles[this.bundles.length - 1]!, changes, 'test'));
    this.revision = this.bundles.length - 1;
  }

  readonly table = {
    read: () => {
      if (this.isDown) return errAsync({ type: 'unavailable' as const, message: 'down' });
      const value = createHead(this.bundles[this.revision]!, 'test');
      return okAsync({ value, version: this.revision + 1, attemptId: 'a' });
    },
    write: (_key: string, value: unknown, ifVersion: number | undefined) => {
      if (this.isDown) return errAsync({ type: 'unavailable' as const, message: 'down' });
      if (ifVersion !== this.revision + 1) {
        return errAsync({ type: 'conflict' as const, current: null });
      }
      this.revision = (value as ConfigurationHead).revision;
      this.writeCount += 1;
      return okAsync({ version: this.revision + 1 });
    },
  };

  readonly objects = {
    read: (name: string) => {
      const bundle = this.bundles.find(
        (item) => getBundleObjectName(createHead(item, 'test').digest) === name,
      );
      return this.isDown || bundle === undefined
        ? errAsync({ type: 'unavailable' })
        : okAsync(encodeBundle(bundle));
    },
    write: () => (this.isDown ? errAsync({ type: 'unavailable' }) : okAsync(undefined)),
  };
}

const createCluster = (count: number) => {
  const handlers = new Map<NodeId, PeerHandler<unknown>>();
  const ids = Array.from({ length: count }, (_, index) => toId<NodeId>(`node-${index}`));
  const random = createRandom(SEED);
  const store = new FakeStore();
  const nodes = ids.map((self) => {
    const mesh = {
      self,
      registerHandler: (_topic: string, _schema: unknown, handler: PeerHandler<unknown>) =>
        handlers.set(self, handler),
      request: (to: NodeId, _topic: string, payload: unknown) =>
        ResultAsync.fromSafePromise(
          Promise.resolve().then(() =>
            JSON.parse(JSON.stringify(handlers.get(to)!(self, payload))),
          ),
        ),
    } as unknown as PeerMesh;
    const listPeers = () => ids.filter((id) => id !== self);
    return ConfigurationFollower.create({
      ...store,
      mesh,
      listPeers,
      random,
      log: createLogger('error'),
    });
  });
  return { nodes, store };
};

t.test('a revision that only one node read before a store outage reaches all nodes', async (t2) => {
  for (let round = 0; round < 50; round++) {
    const { nodes, store } = createCluster(NODE_COUNT);
    store.publish('v1');
    for (const node of nodes) await node.runCycle();
    store.publish('v2');
    await nodes[0]!.runCycle();
    store.isDown = true;
    // Two cycles of 4 s with jitter take less than 14 s.
    for (let cycle = 0; cycle < 2; cycle++) await Promise.all(nodes.map((node) => node.runCycle()));
    await Promise.all(nodes.map((node) => node.stop()));
    t2.ok(
      nodes.every((node) => node.revision === 2 && node.view.getModel('m')?.weightVersion === 'v2'),
      `SEED=${SEED}`,
    );
  }
});

t.test(
  'a node ignores an older head, and gets the configuration from peers in a store outage',
  async (t2) => {
    const { nodes, store } = createCluster(3);
    const [first, second] = nodes;
    store.publish('v1');
    store.publish('v2');
    await first!.runCycle();
    t2.equal(first!.getStatus().origin.type, 'store');
    store.revision = 1;
    await first!.runCycle();
    t2.match(first!.getStatus(), { revision: 2, ignoredHeadRevision: 1 });
    store.isDown = true;
    await nodes[2]!.runCycle();
    await second!.runCycle();
    t2.match(second!.getStatus(), { revision: 2, origin: { type: 'peer' } });
    await Promise.all(nodes.map((node) => node.stop()));
  },
);

t.test('a higher revision in a peer message is pulled', async (t2) => {
  const { nodes, store } = createCluster(2);
  store.publish('v1');
  await nodes[0]!.runCycle();
  nodes[1]!.recordPeerRevision(toId<NodeId>('node-0'), 1);
  await Promise.all(nodes.map((node) => node.stop()));
  t2.equal(nodes[1]!.revision, 1);
});

t.test('an older head of a restored store is replaced by the newer revision', async (t2) => {
  const { nodes, store } = createCluster(3);
  store.publish('v1');
  store.publish('v2');
  for (const node of nodes) await node.runCycle();
  store.revision = 1;
  for (let cycle = 0; cycle < 3; cycle++) for (const node of nodes) await node.runCycle();
  t2.same([store.revision, store.writeCount], [2, 1], 'the head is restored once');
  store.publish('v3');
  for (const node of nodes) await node.runCycle();
  await Promise.all(nodes.map((node) => node.stop()));
  t2.ok(nodes.every((node) => node.view.getModel('m')?.weightVersion === 'v3'));
});
