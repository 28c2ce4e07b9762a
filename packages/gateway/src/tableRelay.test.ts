import t from 'tap';
import { ManualClock } from '@lovagearch/common';
import { type RowBatch, TableMirror } from '@lovagearch/mirror';
import type { PeerRecord } from './clusterState.js';
import {
  FIRST_COPY_WAIT_MS,
  MAX_FULL_RATE_NODES,
  SHARED_TABLE_WAIT_MS,
  SOURCE_EXCLUSION_MS,
} from './constants.js';
import type { TableRelaySource } from './peerExchange.js';
import { TableRelay } from './tableRelay.js';
import { chooseTableRole, type TableNode } from './tableRole.js';

const ZONE = { zone: 'z', region: 'r' };
const NODES: TableNode[] = Array.from({ length: MAX_FULL_RATE_NODES + 4 }, (_, index) => ({
  name: `n-${index}`,
  ...ZONE,
}));
const PEERS = new Map<string, PeerRecord>(
  NODES.map(({ name }) => [name, { address: `${name}:1`, loadAddress: `${name}:2`, zone: 'z' }]),
);
const OLD_BATCH: RowBatch = { rows: [], version: 1, isPartial: true, ageMs: 60_000 };
const FRESH_BATCH: RowBatch = { ...OLD_BATCH, ageMs: 10 };

const findNode = (type: 'follower' | 'store_reader'): TableNode => {
  const self = NODES.find(
    (node) => chooseTableRole({ self: node, nodes: NODES, hasTimeForRelays: true }).type === type,
  );
  if (self === undefined) throw new Error(`no node is a ${type}`);
  return self;
};

const createRelay = (
  self: TableNode,
  relay: TableRelaySource,
  wait: (delayMs: number) => Promise<void>,
) => {
  const clock = ManualClock.create();
  const mirror = TableMirror.create('op');
  const sharedMirror = TableMirror.create('shared');
  const reasons: string[] = [];
  const tableRelay = TableRelay.create({
    self,
    regionByZone: new Map([['z', 'r']]),
    clusterState: {
      listPeers: () => PEERS.entries(),
      findPeer: (name: string) => PEERS.get(name),
    },
    mirrors: [mirror],
    sharedMirror,
    maxCopyAgeMs: 3_000,
    relay,
    random: () => 0,
    clock,
    log: {
      logStateChange: (event, fields) => {
        if (event === 'table_reader_left') reasons.push(String(fields.reason));
      },
    },
    wait: async (delayMs) => {
      clock.addMs(delayMs);
      await wait(delayMs);
    },
  });
  return { clock, mirror, sharedMirror, reasons, tableRelay };
};

t.test(
  'a source that fails or has an old copy is replaced; a relayed copy keeps its age',
  async (t2) => {
    const asked: string[] = [];
    const { clock, mirror, reasons, tableRelay } = createRelay(
      findNode('follower'),
      async (peer) => {
        asked.push(peer);
        if (asked.length === 4) tableRelay.stop();
        if (asked.length === 1) return 'refused';
        return new Map([['op', asked.length === 2 ? OLD_BATCH : FRESH_BATCH]]);
      },
      async () => undefined,
    );
    await tableRelay.run();
    t2.equal(reasons.length, 2);
    t2.match(reasons[1], /60000 ms old/);
    t2.not(asked[0], asked[1], 'another source is asked next');
    t2.equal(asked[2], asked[3], 'a working source is kept');
    t2.equal(mirror.getAgeMs(clock.nowMs()), 10);
    t2.equal(tableRelay.maxRelayedAgeMs, 3_000);
  },
);

// Guards against duties that stay with nodes that are gone, whose names the shared table keeps.
t.test('sources that do not respond for a while are replaced by other nodes', async (t2) => {
  const asked = new Set<string>();
  const { clock, tableRelay } = createRelay(
    findNode('follower'),
    async (peer) => {
      asked.add(peer);
      return asked.size > 2 ? new Map([['op', FRESH_BATCH]]) : 'refused';
    },
    async () => {
      if (clock.nowMs() > SOURCE_EXCLUSION_MS) tableRelay.stop();
    },
  );
  await tableRelay.run();
  t2.ok(asked.size > 2);
});

// Guards against a restart of all nodes in which each reads every table over the link between regions.
t.test('a node that others read for waits for its first copy, but not for long', async (t2) => {
  const { clock, mirror, sharedMirror, tableRelay } = createRelay(
    findNode('follower'),
    async () => 'refused',
    async () => undefined,
  );
  const isDue = () => tableRelay.isStoreReadDue(mirror, Number.POSITIVE_INFINITY);
  t2.equal(isDue(), false, 'its sources are not known yet');
  t2.equal(tableRelay.isStoreReadDue(sharedMirror, Number.POSITIVE_INFINITY), true);
  sharedMirror.applyBatch({ rows: [], version: 1, isPartial: false, ageMs: 0 }, 0);
  clock.addMs(FIRST_COPY_WAIT_MS - 1);
  t2.equal(isDue(), false);
  clock.addMs(1);
  t2.equal(isDue(), true);
});

t.test('a node reads the tables itself if the shared table does not arrive', async (t2) => {
  const { clock, mirror, tableRelay } = createRelay(
    findNode('follower'),
    async () => 'refused',
    async () => undefined,
  );
  clock.addMs(SHARED_TABLE_WAIT_MS);
  t2.equal(tableRelay.isStoreReadDue(mirror, Number.POSITIVE_INFINITY), true);
});

t.test('a reader of the store reads at once when it knows its role', async (t2) => {
  const { mirror, sharedMirror, tableRelay } = createRelay(
    findNode('store_reader'),
    async () => 'refused',
    async () => undefined,
  );
  sharedMirror.applyBatch({ rows: [], version: 1, isPartial: false, ageMs: 0 }, 0);
  t2.equal(tableRelay.isStoreReadDue(mirror, Number.POSITIVE_INFINITY), true);
});

// Guards against a restarted node that serves with keys and endpoints which were removed before.
t.test('an old copy is not the first one of a node', async (t2) => {
  let copies = 0;
  const { mirror, tableRelay } = createRelay(
    findNode('follower'),
    async () => {
      copies += 1;
      if (copies === 3) tableRelay.stop();
      return new Map([['op', OLD_BATCH]]);
    },
    async () => undefined,
  );
  await tableRelay.run();
  t2.equal(mirror.version, 0);
});
