import t from 'tap';
import { ManualClock } from '@lovagearch/common';
import { type RowBatch, StoreClock, TableMirror } from '@lovagearch/mirror';
import { ClusterState } from './clusterState.js';
import type { GatewayLog } from './gatewayLog.js';
import { createDependencies } from './testGateway.js';
import type { RowCodec } from './types.js';
import { WeightTargetTimes } from './weightTargetTimes.js';

const LIMIT_MS = 10_000;
const CONTACT_LIMIT_MS = 3_000;
const MODEL = 'm0';
/** Interval of the simulated reads, in milliseconds. */
const POLL_MS = 100;

const LOG: GatewayLog = {
  logStateChange: () => undefined,
  logRequest: () => undefined,
  logProblem: () => undefined,
  flush: () => undefined,
};

const CODEC: RowCodec = {
  ...createDependencies(new Map()).rows,
  decodeConfiguration: () => ({ type: 'ignored' }),
  decodeWeightTarget: (_key, value) => ({
    type: 'value',
    value: { model: MODEL, version: Number(value) },
  }),
};

/** The store's tables with the operator's version and the shared rows, and its clock. */
class FakeStore {
  readonly clock = ManualClock.create(1_000_000);

  private version = 1;

  private target: { readonly value: string; readonly version: number } | undefined;

  private readonly shared = new Map<string, { value: string; version: number }>();

  publish(version: number): void {
    this.version += 1;
    this.target = { value: String(version), version: this.version };
  }

  readonly write = async (key: string, value: unknown): Promise<boolean> => {
    this.version += 1;
    this.shared.set(key, { value: JSON.stringify(value), version: this.version });
    return true;
  };

  getShared(key: string): unknown {
    return JSON.parse(this.shared.get(key)?.value ?? 'null') as unknown;
  }

  readOperatorTable(isPartial: boolean): RowBatch {
    const rows = this.target === undefined ? [] : [{ key: `weights/${MODEL}`, ...this.target }];
    return this.createBatch(rows, isPartial);
  }

  readSharedTable(isPartial: boolean): RowBatch {
    return this.createBatch(
      [...this.shared].map(([key, row]) => ({ key, ...row })),
      isPartial,
    );
  }

  private createBatch(rows: RowBatch['rows'], isPartial: boolean): RowBatch {
    return {
      rows,
      version: this.version,
      isPartial,
      ageMs: 0,
      asOfStoreMs: this.clock.nowMs(),
    };
  }
}

/** The part of a node that follows weight versions; its clock starts with it. */
const startNode = (store: FakeStore) => {
  const startMs = store.clock.nowMs();
  const clock = { nowMs: () => store.clock.nowMs() - startMs };
  const storeClock = StoreClock.create(clock);
  const settings = {
    bounds: { contactLimitMs: CONTACT_LIMIT_MS, weightRolloutLimitMs: LIMIT_MS },
    heartbeatMs: 1_200,
  };
  const state = ClusterState.create(CODEC, clock, storeClock, settings, LOG);
  const times = WeightTargetTimes.create({
    shared: { write: store.write },
    rows: CODEC,
    targets: state.weightTargets,
    clock,
    random: () => 0,
    log: LOG,
  });
  const operatorTable = TableMirror.create('op', { storeClock });
  const sharedTable = TableMirror.create('shared', { storeClock });
  operatorTable.addListener((row, committedAfterMs) =>
    state.applyOperatorRow(row, committedAfterMs),
  );
  sharedTable.addListener((row) => times.applyRow(row));
  const read = async () => {
    const isPartial = operatorTable.version > 0;
    operatorTable.applyBatch(store.readOperatorTable(isPartial), clock.nowMs());
    sharedTable.applyBatch(store.readSharedTable(isPartial), clock.nowMs());
    await times.publish();
  };
  return { read, getRemainingMs: (version: number) => state.getWeightsRemainingMs(MODEL, version) };
};

type Node = ReturnType<typeof startNode>;

const runFor = async (store: FakeStore, nodes: readonly Node[], durationMs: number) => {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += POLL_MS) {
    store.clock.addMs(POLL_MS);
    for (const node of nodes) await node.read();
  }
};

// Guards against requests that start on old weights after the limit because their node has restarted: the age of a
// version started anew with the process.
t.test('a restart does not extend the time limit of a version', async (t2) => {
  const store = new FakeStore();
  const node = startNode(store);
  await node.read();
  await runFor(store, [node], 1_000);
  store.publish(2);
  await runFor(store, [node], 4_000);
  t2.equal(node.getRemainingMs(2), Number.POSITIVE_INFINITY);
  // The limit counts from the last state without the version, which is one poll before it.
  t2.equal(node.getRemainingMs(1), LIMIT_MS - 4_000);
  store.clock.addMs(2_000);
  const restarted = startNode(store);
  await restarted.read();
  t2.equal(restarted.getRemainingMs(1), LIMIT_MS - 6_000);
  await runFor(store, [restarted], 5_000);
  t2.ok(restarted.getRemainingMs(1) <= 0);
});

// Guards against a series of versions, each of which would extend the limit of the one before.
t.test('a newer version does not extend the time limit of the one before', async (t2) => {
  const store = new FakeStore();
  const node = startNode(store);
  await node.read();
  store.publish(2);
  await runFor(store, [node], 4_000);
  store.publish(3);
  await runFor(store, [node], 2_000);
  for (const each of [node, startNode(store)]) {
    await each.read();
    t2.equal(each.getRemainingMs(1), LIMIT_MS - 6_000);
    t2.equal(each.getRemainingMs(2), LIMIT_MS - 2_000);
    t2.equal(each.getRemainingMs(3), Number.POSITIVE_INFINITY);
  }
});

// Guards against a loss of all nodes before one of them has recorded the time of a version.
t.test('a version of unknown age is due when limits bind a restarted node', async (t2) => {
  const store = new FakeStore();
  store.publish(2);
  const node = startNode(store);
  store.clock.addMs(400);
  await node.read();
  t2.equal(node.getRemainingMs(1), CONTACT_LIMIT_MS - 400);
  await runFor(store, [node], 2_000);
  t2.equal(node.getRemainingMs(1), CONTACT_LIMIT_MS - 2_400);
  t2.equal(store.getShared(`weights/${MODEL}`), null, 'an assumed time is not published');
});

// Guards against a write that the store performs seconds later and that undoes a newer one.
t.test('a row that a late write has replaced is written again', async (t2) => {
  const store = new FakeStore();
  const node = startNode(store);
  await node.read();
  store.publish(2);
  await runFor(store, [node], 200);
  const old = store.getShared(`weights/${MODEL}`);
  store.publish(3);
  await runFor(store, [node], 200);
  await store.write(`weights/${MODEL}`, old);
  await runFor(store, [node], 200);
  const restarted = startNode(store);
  await restarted.read();
  t2.equal(restarted.getRemainingMs(2), LIMIT_MS - 400);
});

// Guards against an unreadable row of the shared table that ends the process or its knowledge of versions.
t.test('a malformed row is ignored', async (t2) => {
  const store = new FakeStore();
  const node = startNode(store);
  await node.read();
  store.publish(2);
  await runFor(store, [node], 200);
  for (const value of [null, 'x', { versions: 3 }, { versions: [{ version: 1.5 }] }]) {
    await store.write(`weights/${MODEL}`, value);
    await node.read();
  }
  t2.equal(node.getRemainingMs(1), LIMIT_MS - 200);
  const restarted = startNode(store);
  await restarted.read();
  t2.equal(restarted.getRemainingMs(1), LIMIT_MS - 200, 'the row is written again');
});
