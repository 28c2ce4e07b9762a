import t from 'tap';
import { createRandom } from '@lovagearch/common';
import { decideRelayAdmission, type RelayPeer, RelayPeers } from './index.js';

const SERVICE = 'engines';
const OTHER_SERVICE = 'ledger';
const REGION_BY_ZONE = new Map([
  ['a', 'south'],
  ['b', 'south'],
  ['c', 'north'],
]);

const createPeer = (name: string, zone = 'a'): RelayPeer => ({ name, zone, address: `${name}:1` });

const createPeers = () =>
  RelayPeers.create({
    zone: 'a',
    region: 'south',
    regionByZone: REGION_BY_ZONE,
    random: createRandom(1),
  });

const choose = (
  relayPeers: RelayPeers,
  peers: readonly RelayPeer[],
  nowMs: number,
  service = SERVICE,
) => relayPeers.choose({ service, peers, excluded: new Set(), nowMs });

const chooseName = (...args: Parameters<typeof choose>) => {
  const choice = choose(...args);
  return choice.type === 'peer' ? choice.peer.name : choice.reason;
};

// Guards against one peer that gets all requests of a node without links, while others of its zone have room.
t.test('requests are spread over the peers of the zone', async (t2) => {
  const relayPeers = createPeers();
  const peers = ['n1', 'n2', 'n3'].map((name) => createPeer(name));
  const counts = new Map<string, number>();
  for (let count = 0; count < 30; count += 1) {
    const name = chooseName(relayPeers, peers, 0);
    relayPeers.recordStarted(name);
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  t2.same([...counts.values()], [10, 10, 10]);
});

// Guards against a zone whose last peer with links is overloaded, and against bytes between regions without need.
t.test(
  'peers of other zones get what the own zone has no room for, those of other regions last',
  async (t2) => {
    const relayPeers = createPeers();
    const peers = [createPeer('near'), createPeer('zone', 'b'), createPeer('region', 'c')];
    const order: string[] = [];
    for (let count = 0; count < 60; count += 1) {
      const name = chooseName(relayPeers, peers, 0);
      relayPeers.recordStarted(name);
      if (!order.includes(name)) order.push(name);
    }
    t2.same(order, ['near', 'zone', 'region']);
  },
);

// Guards against requests that go to peers which lost their links too, in an outage of most nodes.
t.test('a peer that is known to reach the service comes before one that may not', async (t2) => {
  const relayPeers = createPeers();
  const peers = [createPeer('near'), createPeer('linked', 'c')];
  relayPeers.recordDigest('linked', SERVICE, 0);
  t2.equal(chooseName(relayPeers, peers, 100), 'linked');
  t2.equal(
    chooseName(relayPeers, peers, 100, OTHER_SERVICE),
    'near',
    'digests tell of one service',
  );
  t2.equal(chooseName(relayPeers, peers, 5_000), 'near', 'old digests tell nothing');
});

// Guards against a storm of requests at peers that can't reach the service either.
t.test(
  'peers without links get one request after a while, and all requests once that succeeds',
  async (t2) => {
    const relayPeers = createPeers();
    const peers = [createPeer('n1')];
    relayPeers.recordResult('n1', SERVICE, 'unreachable', 0);
    const excluded = choose(relayPeers, peers, 10);
    t2.match(excluded, { type: 'none', reason: 'unreachable' });
    t2.ok(excluded.type === 'none' && excluded.retryInMs! > 300);
    t2.equal(
      chooseName(relayPeers, peers, 10, OTHER_SERVICE),
      'n1',
      'other services may be reached',
    );
    const laterMs = 2_000;
    t2.equal(chooseName(relayPeers, peers, laterMs), 'n1');
    relayPeers.recordStarted('n1');
    t2.equal(chooseName(relayPeers, peers, laterMs), 'unreachable', 'a second request waits');
    relayPeers.recordResult('n1', SERVICE, 'carried', laterMs);
    t2.equal(chooseName(relayPeers, peers, laterMs), 'n1');
  },
);

// Guards against probes of peers without links that become more frequent the longer the outage lasts.
t.test('a peer that stays without links is asked a few times in ten seconds', async (t2) => {
  const relayPeers = createPeers();
  const peers = [createPeer('n1')];
  let asked = 0;
  for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
    if (choose(relayPeers, peers, nowMs).type === 'none') continue;
    asked += 1;
    relayPeers.recordResult('n1', SERVICE, 'unreachable', nowMs);
  }
  t2.ok(asked >= 4 && asked <= 12, `asked ${asked} times`);
});

// Guards against a peer of an earlier release, or one that is stopping, that is asked for each request.
t.test('peers that take no requests are left alone', async (t2) => {
  const relayPeers = createPeers();
  const peers = [createPeer('old'), createPeer('new', 'b')];
  relayPeers.recordResult('old', SERVICE, 'unsupported', 0);
  t2.equal(chooseName(relayPeers, peers, 5_000), 'new');
  relayPeers.recordResult('new', SERVICE, 'unavailable', 5_000);
  t2.equal(chooseName(relayPeers, peers, 5_100), 'unavailable');
  t2.equal(choose(relayPeers, [], 0).type === 'none' && chooseName(relayPeers, [], 0), 'no_peers');
});

// Guards against callers of a node with links that get no memory or processor time because of its peers' callers.
t.test('a node keeps memory and processor time for its own callers', async (t2) => {
  const idle = { relayedRequests: 10, bodyMemoryShare: 0.1, eventLoopDelayMs: 0 };
  t2.same(decideRelayAdmission(idle), { type: 'take' });
  t2.match(decideRelayAdmission({ ...idle, bodyMemoryShare: 0.9 }), { reason: 'memory' });
  t2.match(decideRelayAdmission({ ...idle, eventLoopDelayMs: 2_000 }), { reason: 'event_loop' });
  t2.match(decideRelayAdmission({ ...idle, relayedRequests: 10_000 }), { reason: 'requests' });
});
