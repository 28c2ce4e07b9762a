import { deserialize, serialize } from 'node:v8';
import fc from 'fast-check';
import t from 'tap';
import {
  createLogger,
  createRandom,
  ManualClock,
  toId,
  type AccountId,
  type AttemptId,
  type NodeId,
  type Random,
} from '@lovagearch/common';
import type { PeerError, PeerMesh } from '@lovagearch/peering';
import type { ObjectClient, TableClient, TableError, TableRow } from '@lovagearch/platform-client';
import { findRunViolation, type RunEvent } from '@lovagearch/runs';
import { errAsync, okAsync, ResultAsync, ok, err, type Result } from 'neverthrow';
import { NodeRunCoordinator } from './runCoordinator.js';
import { registerHolderCheckHandler } from './runHolderCheck.js';
import { RunShardOwner } from './runShardOwner.js';
import { RunShardRouter } from './runShardRouter.js';
import type { RunGrant } from './types.js';

const log = createLogger('error');
log.level = -1;
const account = toId<AccountId>('zamu');

/**
 * Yields to the event loop a random number of times, so that the seed determines the interleaving
 * of concurrent steps.
 */
const yieldRandomly = async (random: Random): Promise<void> => {
  for (let count = Math.floor(random() * 6); count > 0; count--) {
    await new Promise<void>((resolve) => {
      setImmediate(resolve);
    });
  }
};

interface Faults {
  random: Random;
  /** Probability that a table write is lost, is applied late, or loses its reply. */
  writeLossProbability: number;
  /** Probability that a message between nodes is lost, and likewise its reply. */
  messageLossProbability: number;
  isTableDown: boolean;
}

class FakeTable implements TableClient {
  readonly rows = new Map<string, TableRow>();

  /** Writes that were reported as unknown and are applied at the next write. */
  private readonly delayedWrites: (() => void)[] = [];

  constructor(private readonly faults: Faults) {}

  readonly read: TableClient['read'] = (key) =>
    this.faults.isTableDown
      ? errAsync({ type: 'unavailable', message: 'down' })
      : okAsync(this.rows.get(key) ?? null);

  readonly write: TableClient['write'] = (key, value, ifVersion, attemptId) =>
    new ResultAsync(this.runWrite(key, value, ifVersion, attemptId));

  readonly list: TableClient['list'] = (prefix, after = '', limit = 100) => {
    if (this.faults.isTableDown) return errAsync({ type: 'unavailable', message: 'down' });
    const rows = [...this.rows.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = rows.slice(0, Math.min(limit, 3));
    return okAsync({
      rows: page,
      next: rows.length > page.length ? page[page.length - 1]!.key : null,
    });
  };

  readonly remove: TableClient['remove'] = (key) => {
    this.rows.delete(key);
    return okAsync(undefined);
  };

  readonly close = async (): Promise<void> => undefined;

  private async runWrite(
    key: string,
    value: unknown,
    ifVersion: number | undefined,
    attemptId: string,
  ): Promise<Result<{ version: number }, TableError>> {
    const { random, writeLossProbability } = this.faults;
    await yieldRandomly(random);
    for (const apply of this.delayedWrites.splice(0)) apply();
    if (this.faults.isTableDown) return err({ type: 'unavailable', message: 'down' });
    const unknown = err<never, TableError>({ type: 'outcome_unknown', message: 'lost' });
    const apply = (): void => {
      if (ifVersion === 0 && this.rows.has(key)) return;
      const version = (this.rows.get(key)?.version ?? 0) + 1;
      const copy: unknown = JSON.parse(JSON.stringify(value));
      this.rows.set(key, { key, value: copy, version, attemptId });
    };
    const draw = random();
    if (draw < writeLossProbability / 3) return unknown;
    if (draw < (2 * writeLossProbability) / 3) {
      this.delayedWrites.push(apply);
      return unknown;
    }
    const current = this.rows.get(key);
    if (ifVersion === 0 && current) return err({ type: 'conflict', current });
    apply();
    await yieldRandomly(random);
    return draw < writeLossProbability ? unknown : ok({ version: 1 });
  }
}

const createFakeObjects = (): ObjectClient => {
  const objects = new Map<string, Uint8Array>();
  return {
    read: (name) => {
      const bytes = objects.get(name);
      return bytes === undefined ? errAsync({ type: 'not_found' }) : okAsync(bytes);
    },
    write: (name, bytes) => {
      objects.set(name, bytes);
      return okAsync(undefined);
    },
    remove: (name) => {
      objects.delete(name);
      return okAsync(undefined);
    },
    close: async () => undefined,
  };
};

/** Copies a message, so that the nodes share no objects. */
const copyValue = (value: unknown): unknown => deserialize(serialize(value));

type MessageHandler = (from: NodeId, topic: string, payload: unknown) => Promise<unknown>;

const createFakeMesh = (
  self: NodeId,
  receivers: Map<NodeId, MessageHandler>,
  faults: Faults,
): PeerMesh => {
  const { random } = faults;
  const handlers = new Map<string, MessageHandler>();
  receivers.set(self, async (from, topic, payload) => handlers.get(topic)!(from, topic, payload));
  const runRequest = async (
    to: NodeId,
    topic: string,
    payload: unknown,
  ): Promise<Result<unknown, PeerError>> => {
    await yieldRandomly(random);
    if (random() < faults.messageLossProbability) return err({ type: 'connection_lost' });
    const reply = await receivers.get(to)!(self, topic, copyValue(payload));
    if (random() < faults.messageLossProbability) return err({ type: 'timeout', timeoutMs: 1 });
    return ok(copyValue(reply));
  };
  return {
    self,
    setAddress: () => undefined,
    removeAddress: () => undefined,
    send: () => undefined,
    request: (to, topic, payload) => new ResultAsync(runRequest(to, topic, payload)),
    identifyPeer: () => errAsync({ type: 'unknown_peer' }),
    registerHandler: (topic, schema, handle) => {
      handlers.set(topic, async (from, _topic, payload) => handle(from, schema.parse(payload)));
    },
    getTraffic: () => ({ sentBytes: 0, receivedBytes: 0 }),
    close: async () => undefined,
  };
};

/** Creates nodes that share a table. Each has its own member list, which tests modify. */
const createCluster = (seed: number, names: readonly string[], shards = 1) => {
  const faults: Faults = {
    random: createRandom(seed),
    writeLossProbability: 0,
    messageLossProbability: 0,
    isTableDown: false,
  };
  const table = new FakeTable(faults);
  const objects = createFakeObjects();
  const receivers = new Map<NodeId, MessageHandler>();
  const ids = names.map((name) => toId<NodeId>(name));
  const nodes = ids.map((id) => {
    const clock = ManualClock.create();
    const mesh = createFakeMesh(id, receivers, faults);
    const node = { id, clock, members: ids };
    const listLiveMembers = () => node.members;
    const owner = RunShardOwner.create({
      shards,
      mesh,
      table,
      objects,
      clock,
      log,
      listLiveMembers,
      isPresent: (other) => other === id || node.members.includes(other),
      schedule: (callback, delayMs) => {
        const immediate = setImmediate(() => {
          clock.addMs(delayMs);
          callback();
        });
        return () => clearImmediate(immediate);
      },
    });
    const wait = async (pauseMs: number): Promise<void> => {
      clock.addMs(pauseMs);
      await yieldRandomly(faults.random);
    };
    const router = RunShardRouter.create({ shards, mesh, owner, clock, listLiveMembers, wait });
    const coordinator = NodeRunCoordinator.create({ router, objects, clock, log, self: id });
    registerHolderCheckHandler(mesh, coordinator.isHolding);
    return Object.assign(node, { owner, coordinator, mesh });
  });
  const stop = async (): Promise<void> => {
    faults.writeLossProbability = 0;
    faults.messageLossProbability = 0;
    faults.isTableDown = false;
    for (const node of nodes) await node.coordinator.stop();
    for (const node of nodes) await node.owner.stop();
  };
  return { faults, table, nodes, stop };
};

type Cluster = ReturnType<typeof createCluster>;
type Node = Cluster['nodes'][number];

const requestGrant = async (node: Node, key: string): Promise<RunGrant> => {
  const begun = await node.coordinator.begin(account, key, 'b');
  if (begun.isErr()) throw new Error(begun.error.type);
  if (begun.value.type !== 'granted') throw new Error(begun.value.type);
  return begun.value.grant;
};

const createResponse = (text: string) => ({
  status: 200,
  headers: { 'content-type': 'text/plain' },
  body: new TextEncoder().encode(text),
});

/** Makes one call as the request path does, and records the events visible to an observer. */
const runCall = async (
  { faults }: Cluster,
  node: Node,
  key: string,
  bodyHash: string,
  events: RunEvent[],
): Promise<void> => {
  const { random } = faults;
  const begun = await node.coordinator.begin(account, key, bodyHash);
  if (begun.isErr()) return;
  if (begun.value.type === 'recorded') {
    const digest = new TextDecoder().decode(begun.value.response.body);
    events.push({ type: 'returned', runId: key, digest });
    return;
  }
  const { grant } = begun.value;
  // Simulates a process pause between the grant and the send.
  if (random() < 0.1) node.clock.addMs(6_000);
  await yieldRandomly(random);
  if (node.clock.nowMs() > grant.sendBeforeMs || random() < 0.1) {
    events.push({ type: 'refused_not_run', runId: key, attempt: grant.attempt });
    await node.coordinator.release(grant);
    return;
  }
  events.push({ type: 'sent', runId: key, attempt: grant.attempt });
  await yieldRandomly(random);
  if (random() < 0.2) {
    node.coordinator.abandon(grant);
    return;
  }
  const isLong = random() < 0.2;
  const digest = `${grant.attempt}${isLong ? 'x'.repeat(17_000) : ''}`;
  events.push({ type: 'recorded', runId: key, digest });
  await node.coordinator.finish(grant, createResponse(digest));
};

const runHistory = async (seed: number): Promise<RunEvent[]> => {
  const cluster = createCluster(seed, ['n1', 'n2', 'n3']);
  const { faults, nodes } = cluster;
  const { random } = faults;
  faults.writeLossProbability = random() * 0.4;
  faults.messageLossProbability = random() * 0.3;
  const events: RunEvent[] = [];
  for (let step = 0; step < 15; step++) {
    // The nodes disagree about the live members, so several may consider themselves shard owner.
    for (const node of nodes) {
      node.members = nodes.map(({ id }) => id).filter((id) => id === node.id || random() < 0.7);
      node.clock.addMs(random() * 2_000);
    }
    faults.isTableDown = random() < 0.1;
    const calls = Array.from({ length: 4 }, async () => {
      const node = nodes[Math.floor(random() * nodes.length)]!;
      const key = `key-${Math.floor(random() * 9)}`;
      await runCall(cluster, node, key, random() < 0.1 ? 'other' : 'body', events);
    });
    await Promise.all(calls);
  }
  await cluster.stop();
  return events;
};

t.test('competing owners, lost replies and process pauses never send a key twice', async (t2) => {
  let sent = 0;
  let returned = 0;
  await fc.assert(
    fc.asyncProperty(fc.integer({ min: 0, max: 2 ** 31 }), async (seed) => {
      const events = await runHistory(seed);
      sent += events.filter(({ type }) => type === 'sent').length;
      returned += events.filter(({ type }) => type === 'returned').length;
      const violation = findRunViolation(events);
      if (violation) throw new Error(`seed ${seed}: ${violation.type} of ${violation.runId}`);
    }),
    { numRuns: Number(process.env.RUNS_HISTORIES ?? 60) },
  );
  t2.comment(`${sent} calls sent, ${returned} recorded responses returned`);
  t2.ok(sent > 0 && returned > 0, 'the histories contain sent and returned events');
});

t.test(
  'a new owner returns the recorded response of a finished run, even if the table is unavailable',
  async (t2) => {
    const cluster = createCluster(1, ['n1', 'n2']);
    const [first, second] = cluster.nodes as [Node, Node];
    const grant = await requestGrant(first, 'k');
    t2.match(await second.coordinator.begin(account, 'k', 'b'), {
      error: { type: 'run_in_progress', run: 'unknown' },
    });
    t2.ok((await first.coordinator.finish(grant, createResponse('done'))).isOk());
    for (const node of cluster.nodes) node.members = [second.id];
    await first.owner.updateOwnership();
    for (const isTableDown of [false, true]) {
      cluster.faults.isTableDown = isTableDown;
      const again = await first.coordinator.begin(account, 'k', 'b');
      t2.match(again, { value: { type: 'recorded', response: createResponse('done') } });
    }
    await cluster.stop();
  },
);

t.test('a table outage refuses new runs with not_run and keeps recorded outcomes', async (t2) => {
  const cluster = createCluster(2, ['n1']);
  const [node] = cluster.nodes as [Node];
  const grant = await requestGrant(node, 'k');
  await node.coordinator.finish(grant, createResponse('done'));
  cluster.faults.isTableDown = true;
  for (const key of ['new-1', 'new-2']) {
    t2.match(await node.coordinator.begin(account, key, 'b'), {
      error: { type: 'run_store_unavailable', run: 'not_run' },
    });
  }
  t2.match(await node.coordinator.begin(account, 'k', 'b'), { value: { type: 'recorded' } });
  t2.match(await node.coordinator.begin(account, 'k', 'other'), {
    error: { type: 'idempotency_key_reused', run: 'not_run' },
  });
  await cluster.stop();
});

t.test('a run whose holder left has an unknown outcome and is never granted again', async (t2) => {
  const cluster = createCluster(3, ['n1', 'n2', 'n3']);
  const [first, second, third] = cluster.nodes as [Node, Node, Node];
  t2.ok((await first.coordinator.begin(account, 'k', 'b')).isOk());
  for (const node of cluster.nodes) node.members = [second.id, third.id];
  for (const node of [second, third]) {
    t2.match(await node.coordinator.begin(account, 'k', 'b'), {
      error: { type: 'outcome_unknown', run: 'unknown' },
    });
  }
  await cluster.stop();
});

t.test('a run whose holder restarted with the same id is unknown, not in progress', async (t2) => {
  const cluster = createCluster(6, ['n1', 'n2']);
  const [first, second] = cluster.nodes as [Node, Node];
  const begin = async () => second.coordinator.begin(account, 'k', 'b');
  t2.ok((await first.coordinator.begin(account, 'k', 'b')).isOk());
  t2.match(await begin(), { error: { type: 'run_in_progress' } });
  // The restarted process holds none of the attempts of its predecessor.
  registerHolderCheckHandler(first.mesh, () => false);
  t2.match(await begin(), { error: { type: 'outcome_unknown', run: 'unknown' } });
  await cluster.stop();
});

t.test('an attempt stays held while its end waits to be recorded', async (t2) => {
  const cluster = createCluster(7, ['n1']);
  const [node] = cluster.nodes as [Node];
  const grant = await requestGrant(node, 'k');
  cluster.faults.isTableDown = true;
  t2.match(await node.coordinator.finish(grant, createResponse('done')), { error: { run: 'ran' } });
  t2.ok(node.coordinator.isHolding(grant.attempt));
  await cluster.stop();
  t2.notOk(node.coordinator.isHolding(grant.attempt));
});

t.test('the next owner can read a log after the removal of its expired rows', async (t2) => {
  const cluster = createCluster(4, ['n1', 'n2']);
  const [first, second] = cluster.nodes as [Node, Node];
  for (const node of cluster.nodes) node.members = [first.id];
  for (const key of ['k1', 'k2', 'k3', 'k4']) {
    const grant = await requestGrant(first, key);
    t2.ok((await first.coordinator.finish(grant, createResponse(key))).isOk());
  }
  t2.equal(cluster.table.rows.size, 9, 'one takeover row and two rows per run');
  first.clock.addMs(25 * 3_600_000);
  for (let count = 0; count < 6; count++) await requestGrant(first, `later-${count}`);
  for (const node of cluster.nodes) node.members = [second.id];
  const grant = await requestGrant(second, 'k1');
  t2.ok((await second.coordinator.finish(grant, createResponse('again'))).isOk());
  const keys = [...cluster.table.rows.keys()];
  t2.ok(keys[0]!.endsWith('/000000000001'), 'the first takeover row is kept');
  t2.notOk(
    keys.some((key) => key.endsWith('/000000000002')),
    'the expired rows are removed',
  );
  await cluster.stop();
});

t.test('a begin that arrives after the release of its own attempt is not granted', async (t2) => {
  const cluster = createCluster(5, ['n1']);
  const [{ id, owner }] = cluster.nodes as [Node];
  const run = { account, key: 'k', bodyHash: 'b', attempt: toId<AttemptId>('late') };
  const [released, begun] = await Promise.all([
    owner.handleEnd(id, { shards: 1, record: { type: 'released', ...run } }),
    owner.handleBegin(id, { shards: 1, record: { type: 'begun', holder: id, ...run } }),
  ]);
  t2.same([released.type, begun.type], ['recorded', 'attempt_over']);
  await cluster.stop();
});
