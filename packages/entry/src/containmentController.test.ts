import t from 'tap';
import {
  createLogger,
  ManualClock,
  toId,
  type EndpointId,
  type Fingerprint,
  type NodeId,
} from '@lovagearch/common';
import { FAULTY_MS, QUARANTINE_MS } from '@lovagearch/containment';
import type { PeerMesh } from '@lovagearch/peering';
import { errAsync } from 'neverthrow';
import { ContainmentController } from './containmentController.js';

const log = createLogger('error');
log.level = -1;
const toEndpoint = (name: string) => toId<EndpointId>(name);
const toFingerprint = (name: string) => toId<Fingerprint>(name);
const [r1, r2] = [toEndpoint('r1'), toEndpoint('r2')];
const [f1, f2, f3] = [toFingerprint('f1'), toFingerprint('f2'), toFingerprint('f3')];

const createCluster = (count: number) => {
  const clock = ManualClock.create();
  const ids = Array.from({ length: count }, (_, index) => toId<NodeId>(`n${index}`));
  const receivers = new Map<NodeId, (from: NodeId, payload: unknown) => void>();
  /** Messages sent but not yet delivered by `deliver`. */
  let pendingMessages: (() => void)[] = [];
  let sentCount = 0;
  const nodes = ids.map((self) => {
    const mesh: PeerMesh = {
      self,
      setAddress: () => undefined,
      removeAddress: () => undefined,
      send: (to, _topic, payload) => {
        sentCount++;
        pendingMessages.push(() => receivers.get(to)?.(self, payload));
      },
      request: () => errAsync({ type: 'unknown_peer' }),
      identifyPeer: () => errAsync({ type: 'unknown_peer' }),
      registerHandler: (_topic, schema, handler) => {
        receivers.set(self, (from, payload) => handler(from, schema.parse(payload)));
      },
      getTraffic: () => ({ sentBytes: 0, receivedBytes: 0 }),
      close: async () => undefined,
    };
    return ContainmentController.create({
      mesh,
      clock,
      log,
      listLiveMembers: () => ids,
    });
  });
  const deliver = (): void => {
    while (pendingMessages.length > 0) {
      const messages = pendingMessages;
      pendingMessages = [];
      for (const message of messages) message();
    }
  };
  const stop = async (): Promise<void> => {
    for (const node of nodes) await node.stop();
  };
  return { clock, nodes, deliver, stop, getSentCount: () => sentCount };
};

t.test('a crashing request retried through other nodes crashes no second endpoint', async (t2) => {
  const { clock, nodes, deliver, stop } = createCluster(4);
  nodes[0]!.recordStart(r1, f1);
  nodes[0]!.recordEnd(r1, f1, 'crashed');
  deliver();
  for (const node of nodes) t2.match(node.check(f1), { error: { run: 'not_run' } });
  clock.addMs(QUARANTINE_MS + 1);
  for (const node of nodes) t2.match(node.check(f1), { type: 'clear' });
  await stop();
});

t.test(
  'requests running during a crash become suspects; trials find the one that caused it',
  async (t2) => {
    const { clock, nodes, deliver, stop } = createCluster(3);
    nodes[0]!.recordStart(r1, f1);
    nodes[0]!.recordStart(r1, f2);
    nodes[1]!.recordStart(r1, f3);
    nodes[0]!.recordEnd(r1, f1, 'crashed');
    nodes[1]!.recordEnd(r1, f3, 'crashed');
    nodes[0]!.recordEnd(r1, f2, 'crashed');
    deliver();
    for (const node of nodes) {
      for (const fingerprint of [f1, f2, f3]) {
        t2.match(node.check(fingerprint), { type: 'only_on', endpoint: r1 });
      }
    }
    clock.addMs(10_000);
    nodes[2]!.recordStart(r1, f1);
    deliver();
    t2.match(nodes[1]!.check(f2), { type: 'quarantined', error: { retryAfterMs: 1_000 } });
    nodes[2]!.recordEnd(r1, f1, 'completed');
    deliver();
    nodes[1]!.recordStart(r1, f2);
    nodes[1]!.recordEnd(r1, f2, 'crashed');
    deliver();
    for (const node of nodes) {
      t2.match(node.check(f1), { type: 'clear' });
      t2.match(node.check(f2), { type: 'quarantined' });
      t2.match(node.check(f3), { type: 'only_on', endpoint: r1 });
    }
    await stop();
  },
);

t.test('an endpoint that crashes on every request does not quarantine the requests', async (t2) => {
  const { clock, nodes, deliver, stop } = createCluster(3);
  for (const [index, fingerprint] of [f1, f2, f3].entries()) {
    nodes[index]!.recordStart(r2, fingerprint);
    nodes[index]!.recordEnd(r2, fingerprint, 'crashed');
    deliver();
    clock.addMs(20_000);
  }
  for (const node of nodes) {
    t2.ok(node.isFaulty(r2));
    for (const fingerprint of [f1, f2, f3]) t2.match(node.check(fingerprint), { type: 'clear' });
  }
  clock.addMs(FAULTY_MS);
  for (const node of nodes) t2.notOk(node.isFaulty(r2));
  await stop();
});

t.test(
  'a node that missed events gets quarantines and faulty endpoints from a peer',
  async (t2) => {
    const { clock, nodes, stop } = createCluster(2);
    nodes[0]!.recordStart(r1, f1);
    nodes[0]!.recordEnd(r1, f1, 'crashed');
    clock.addMs(20_000);
    nodes[0]!.recordStart(r1, f2);
    nodes[0]!.recordEnd(r1, f2, 'crashed');
    clock.addMs(1_000);
    nodes[1]!.applySnapshot(nodes[0]!.getSnapshot());
    for (const fingerprint of [f1, f2])
      t2.match(nodes[1]!.check(fingerprint), { type: 'quarantined' });
    clock.addMs(QUARANTINE_MS - 1_000);
    t2.match(
      nodes[1]!.check(f2),
      { type: 'clear' },
      'the received entry expires together with the original',
    );
    nodes[0]!.recordStart(r2, f3);
    nodes[0]!.recordEnd(r2, f3, 'crashed');
    for (const fingerprint of [f1, f2]) {
      clock.addMs(4_000);
      nodes[0]!.recordStart(r2, fingerprint);
      nodes[0]!.recordEnd(r2, fingerprint, 'crashed');
    }
    nodes[1]!.applySnapshot(nodes[0]!.getSnapshot());
    t2.ok(nodes[1]!.isFaulty(r2));
    await stop();
  },
);

t.test('many simultaneous crashes send a limited number of messages per second', async (t2) => {
  const { nodes, getSentCount: getSent, stop } = createCluster(3);
  for (let index = 0; index < 200; index++) {
    const endpoint = toEndpoint(`e${index}`);
    nodes[0]!.recordStart(endpoint, toFingerprint(`g${index}`));
    nodes[0]!.recordEnd(endpoint, toFingerprint(`g${index}`), 'crashed');
  }
  t2.equal(getSent(), 20, 'ten messages to each of two peers');
  await stop();
});

t.test('a request that was producing output when its VM failed is not quarantined', async (t2) => {
  const { nodes, deliver, stop } = createCluster(2);
  nodes[0]!.recordStart(r1, f1);
  nodes[0]!.recordOutput(r1, f1);
  nodes[0]!.recordStart(r1, f2);
  nodes[0]!.recordEnd(r1, f1, 'crashed');
  deliver();
  for (const node of nodes) t2.match(node.check(f1), { type: 'clear' });
  t2.match(
    nodes[1]!.check(f2),
    { type: 'clear' },
    'the crash of the other request has not been reported yet',
  );
  nodes[0]!.recordEnd(r1, f2, 'crashed');
  deliver();
  for (const node of nodes) t2.match(node.check(f2), { type: 'quarantined' });
  await stop();
});

t.test('a request that crashes two endpoints while producing output is quarantined', async (t2) => {
  const { nodes, deliver, stop } = createCluster(2);
  for (const endpoint of [r1, r2]) {
    nodes[0]!.recordStart(endpoint, f1);
    nodes[0]!.recordOutput(endpoint, f1);
    nodes[0]!.recordEnd(endpoint, f1, 'crashed');
  }
  deliver();
  for (const node of nodes) t2.match(node.check(f1), { type: 'quarantined' });
  await stop();
});
