import t from 'tap';
import { ManualClock } from '@lovagearch/common';
import { type RowBatch, TableMirror } from '@lovagearch/mirror';
import type { ClusterState } from './clusterState.js';
import { READERS_PER_ZONE, MAX_FULL_RATE_NODES } from './constants.js';
import type { GatewayLog } from './gatewayLog.js';
import { chooseReaders, TableRelay } from './tableRelay.js';

const createNames = (count: number) => Array.from({ length: count }, (_, index) => `n-${index}`);

// Guards against store calls that grow with the number of nodes, as when each node reads every table itself.
t.test('every node chooses the same few readers of a zone', async (test) => {
  const names = createNames(50);
  const readers = chooseReaders(names, 300);
  test.equal(readers.length, READERS_PER_ZONE);
  test.same(chooseReaders([...names].reverse(), 300), readers);
  test.same(chooseReaders(names, MAX_FULL_RATE_NODES), [], 'a small deployment has no readers');
  const rest = names.filter((name) => !readers.includes(name));
  test.equal(chooseReaders(rest, 300).length, READERS_PER_ZONE, 'failed readers are replaced');
});

t.test(
  'a reader that fails or has an old copy is replaced; a relayed copy keeps its age',
  async (test) => {
    const clock = ManualClock.create();
    const mirror = TableMirror.create('op');
    const names = createNames(MAX_FULL_RATE_NODES + 4);
    const peers = new Map(names.map((name) => [name, { address: `${name}:1`, zone: 'z' }]));
    const nodeName = names.find((name) => !chooseReaders(names, names.length).includes(name)) ?? '';
    const asked: string[] = [];
    const reasons: string[] = [];
    const old: RowBatch = { rows: [], version: 1, isPartial: true, ageMs: 60_000 };
    const relay = TableRelay.create({
      nodeName,
      zone: 'z',
      clusterState: {
        nodeCount: names.length,
        listPeers: () => peers.entries(),
        findPeer: (name: string) => peers.get(name),
      } as unknown as ClusterState,
      mirrors: [mirror],
      maxCopyAgeMs: 3_000,
      relay: async (peer) => {
        asked.push(peer);
        if (asked.length === 4) relay.stop();
        if (asked.length === 1) return 'refused';
        return new Map([['op', asked.length === 2 ? old : { ...old, ageMs: 10 }]]);
      },
      random: () => 0,
      clock,
      log: {
        logStateChange: (_event: string, { reason }: { reason: string }) => reasons.push(reason),
      } as unknown as GatewayLog,
    });
    await relay.run();
    test.equal(reasons.length, 2);
    test.match(reasons[1], /60000 ms old/);
    test.equal(asked[2], asked[3], 'a working reader is kept');
    test.equal(mirror.getAgeMs(clock.nowMs()), 10);
    test.equal(relay.maxRelayedAgeMs, 3_000);
  },
);
