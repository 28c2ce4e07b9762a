import t from 'tap';
import {
  createRandom,
  ManualClock,
  toId,
  type AccountId,
  type NodeId,
  type RequestId,
  type ServiceId,
} from '@lovagearch/common';
import type { PeerMesh } from '@lovagearch/peering';
import { errAsync } from 'neverthrow';
import { AdmissionController } from './admissionController.js';
import type { AdmissionRequest, AdmissionTicket } from './types.js';

const service = toId<ServiceId>('estimator');

const createNodes = (count: number, maxConcurrent = 8, getFreeSlots = () => 1_000) => {
  const clock = ManualClock.create();
  const ids = Array.from({ length: count }, (_, index) => toId<NodeId>(`n${index}`));
  const receivers = new Map<NodeId, (from: NodeId, payload: unknown) => void>();
  const nodes = ids.map((self) => {
    const mesh: PeerMesh = {
      self,
      setAddress: () => undefined,
      removeAddress: () => undefined,
      send: (to, _topic, payload) => receivers.get(to)?.(self, payload),
      request: () => errAsync({ type: 'unknown_peer' }),
      identifyPeer: () => errAsync({ type: 'unknown_peer' }),
      registerHandler: (_topic, schema, handler) => {
        receivers.set(self, (from, payload) => handler(from, schema.parse(payload)));
      },
      getTraffic: () => ({ sentBytes: 0, receivedBytes: 0 }),
      close: async () => undefined,
    };
    return AdmissionController.create({
      mesh,
      clock,
      getAccountLimits: () => ({ promptTokensPerSecond: 1e6, maxConcurrent }),
      getServiceCapacity: () => ({ queueMs: 0, freeSlots: getFreeSlots() }),
      listRegionMembers: () => ids,
      countLiveNodes: () => count,
    });
  });
  const stop = async (): Promise<void> => {
    for (const node of nodes) await node.stop();
  };
  return { clock, nodes, stop };
};

const createRequest = (account: string, fields: Partial<AdmissionRequest> = {}) => ({
  requestId: toId<RequestId>('r'),
  account: toId<AccountId>(account),
  service,
  requestClass: 'standard' as const,
  promptTokens: 100,
  deadlineMs: 600_000,
  ...fields,
});

/** Runs the handlers of promises that have settled. */
const flushPromises = async (): Promise<void> => {
  await new Promise<void>((resolve) => {
    setImmediate(resolve);
  });
};

t.test('releasing a ticket twice frees only one slot', async (t2) => {
  const { nodes, stop } = createNodes(1, 1);
  const [node] = nodes as [AdmissionController];
  const started: AdmissionTicket[] = [];
  const waits = Array.from({ length: 3 }, async () => {
    const admitted = await node.admit(createRequest('a'));
    if (admitted.isOk()) started.push(admitted.value);
  });
  await flushPromises();
  t2.equal(started.length, 1);
  started[0]!.release();
  started[0]!.release();
  await flushPromises();
  t2.equal(started.length, 2);
  started[1]!.release();
  await Promise.all(waits);
  started[2]!.release();
  await stop();
});

t.test(
  'an account with most of its demand on one node gets more than an even share there',
  async (t2) => {
    const { clock, nodes, stop } = createNodes(4);
    const [busy, other] = nodes as [AdmissionController, AdmissionController];
    const started = { busy: 0, other: 0 };
    const tickets: AdmissionTicket[] = [];
    const send = async (name: keyof typeof started, node: AdmissionController): Promise<void> => {
      const admitted = await node.admit(createRequest('a'));
      if (admitted.isErr()) return;
      started[name]++;
      tickets.push(admitted.value);
    };
    const sent = Array.from({ length: 30 }, async () => send('busy', busy));
    sent.push(...Array.from({ length: 10 }, async () => send('other', other)));
    await flushPromises();
    t2.same(started, { busy: 2, other: 2 }, 'even shares before peers have reported demand');
    for (let round = 0; round < 2; round++) {
      clock.addMs(10_000);
      for (const node of nodes) node.runTick();
    }
    await flushPromises();
    t2.same(started, { busy: 6, other: 2 }, '3/4 of the demand gets 3/4 of the limit of 8');
    while (started.busy + started.other < 40) {
      tickets.pop()?.release();
      await flushPromises();
    }
    await Promise.all(sent);
    await stop();
  },
);

t.test('two large accounts do not starve small accounts on a saturated service', async (t2) => {
  const seed = 5;
  const random = createRandom(seed);
  const running: { account: string; ticket: AdmissionTicket; endMs: number }[] = [];
  const { clock, nodes, stop } = createNodes(1, 64, () => Math.max(0, 6 - running.length));
  const [node] = nodes as [AdmissionController];
  const queuedMs = new Map<string, number[]>();
  const refused = new Map<string, number>();
  const settledAll: Promise<void>[] = [];
  const send = (account: string): void => {
    const admitted = node.admit(createRequest(account, { deadlineMs: 30_000 }));
    const settled = admitted.match(
      (ticket) => {
        running.push({ account, ticket, endMs: clock.nowMs() + 500 + random() * 1_000 });
        queuedMs.set(account, [...(queuedMs.get(account) ?? []), ticket.queuedMs]);
      },
      ({ type }) => {
        if (type !== 'draining') refused.set(account, (refused.get(account) ?? 0) + 1);
      },
    );
    settledAll.push(settled);
  };
  for (let step = 0; step < 600; step++) {
    clock.addMs(100);
    for (const large of ['large-1', 'large-2']) if (random() < 0.8) send(large);
    if (step % 40 === 0) for (let index = 0; index < 4; index++) send(`small-${index}`);
    for (const run of running.filter(({ endMs }) => endMs <= clock.nowMs())) {
      running.splice(running.indexOf(run), 1);
      run.ticket.release();
    }
    node.runTick();
    await flushPromises();
  }
  const largeMs = Math.max(...queuedMs.get('large-1')!);
  for (let index = 0; index < 4; index++) {
    const waits = queuedMs.get(`small-${index}`) ?? [];
    t2.notOk(refused.get(`small-${index}`), `seed ${seed}: small-${index} is never rejected`);
    t2.ok(waits.length >= 14, `seed ${seed}: ${waits.length} of 15 requests started`);
    const smallMs = Math.max(...waits);
    t2.ok(smallMs < largeMs / 2, `seed ${seed}: waited ${smallMs} ms, large account ${largeMs} ms`);
  }
  await stop();
  await Promise.all(settledAll);
});
