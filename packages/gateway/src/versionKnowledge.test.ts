import t from 'tap';
import { SimulatedTime } from '@lovagearch/common';
import { EndpointTable } from '@lovagearch/endpoints';
import { type ReadResult, StoreClock, TableMirror } from '@lovagearch/mirror';
import { STAND_IN_AGE_MS, STREAM_RETENTION_MS } from './constants.js';
import { createGatewayLog } from './gatewayLog.js';
import { JoinedCall } from './joinedCall.js';
import type { StreamStatement } from './peerStreams.js';
import { SoftwareRecord } from './softwareRecord.js';
import { createDependencies, createRegistration } from './testGateway.js';
import { VersionKnowledge } from './versionKnowledge.js';

const SERVICE = 'app';
const STORE_MS = 1_000_000;
const START_SPREAD_MS = 3_000;
const UNAVAILABLE: ReadResult = {
  type: 'failure',
  failure: { type: 'unavailable', reason: 'cut off' },
};

const createAnswer = (overrides: Partial<StreamStatement> = {}): StreamStatement => ({
  processAgeMs: 0,
  versions: [],
  streams: [],
  isStoreRead: false,
  ...overrides,
});

interface NodeOptions {
  readonly isFirstStart?: boolean;
  /** Rows that earlier processes have written. */
  readonly rows?: ReadonlyMap<string, string>;
}

/** Creates what one node knows, with peers whose answers a test sets. */
const createNode = (time: SimulatedTime, { isFirstStart = true, rows }: NodeOptions = {}) => {
  const storeClock = StoreClock.create(time);
  storeClock.recordReading(STORE_MS + time.nowMs());
  const endpoints = EndpointTable.create();
  const mirrors = [TableMirror.create('endpoints'), TableMirror.create('shared')] as const;
  const [endpointMirror, sharedMirror] = mirrors;
  const written = new Map<string, string>(rows);
  const state = {
    isStoreReadable: true,
    isStoreReachable: true,
    answers: new Map<string, StreamStatement | undefined>(),
  };
  const softwareRecord = SoftwareRecord.create({
    nodeName: 'n1',
    isFirstStart,
    endpoints,
    endpointMirror,
    sharedMirror,
    shared: {
      write: async (key, value) => {
        written.set(key, JSON.stringify(value));
        return true;
      },
    },
    rows: createDependencies(new Map()).rows,
    clock: time,
    storeClock,
    listStreamServices: () => [SERVICE],
    listSharingNodes: () => ['n1'],
    areRegistrationsComplete: () => true,
    isMembershipKnown: () => true,
    onWriteError: () => undefined,
    log: createGatewayLog('n1', time, () => undefined),
  });
  sharedMirror.addListener((row) => softwareRecord.applyRow(row));
  const version = 1 + written.size;
  const sharedRows = [...written].map(([key, value]) => ({ key, value, version }));
  for (const mirror of mirrors)
    mirror.applyBatch(
      { rows: mirror === sharedMirror ? sharedRows : [], version, isPartial: false, ageMs: 0 },
      time.nowMs(),
    );
  const knowledge = VersionKnowledge.create({
    endpoints,
    mirrors,
    tables: {
      readChanges: async (_table, afterVersion) => {
        if (!state.isStoreReadable) return UNAVAILABLE;
        return {
          type: 'rows',
          batch: { rows: [], version: afterVersion + 1, isPartial: true, ageMs: 0 },
        };
      },
    },
    isStoreReachable: () => state.isStoreReachable,
    softwareRecord,
    originSharing: {
      applyStatement: ({ versions }) => {
        for (const [service, name, ageMs] of versions)
          endpoints.recordSoftwareUse(service, name, time.nowMs() - ageMs);
      },
      createStatement: (processAgeMs) => createAnswer({ processAgeMs }),
    },
    listPeers: () => new Map([...state.answers.keys()].map((name) => [name, `${name}:1`])),
    askPeer: async (peer) => state.answers.get(peer.split(':')[0] ?? ''),
    startSpreadMs: START_SPREAD_MS,
    startMs: time.nowMs(),
    clock: time,
    random: () => 0.5,
  });
  const register = (id: string, softwareVersion: string) =>
    endpoints.applyRecord(
      {
        ...createRegistration(id, 1, SERVICE),
        softwareVersion,
        state: 'ready',
        weights: new Map<string, number>(),
      },
      time.nowMs(),
    );
  const listVersions = async () => {
    const { uses, complete, begin } = await knowledge.confirm(SERVICE);
    const versions = uses
      .filter(({ fromMs, untilMs }) => fromMs <= begin.untilMs && untilMs >= begin.fromMs)
      .map((use) => use.version)
      .sort();
    const isComplete = complete.fromMs <= begin.fromMs && complete.untilMs >= begin.untilMs;
    return { isComplete, versions };
  };
  return {
    state,
    endpoints,
    endpointMirror,
    softwareRecord,
    knowledge,
    written,
    register,
    listVersions,
  };
};

// Guards against a node without the store that takes what it knows for all, though no peer that does better has answered:
// one that is cut off together with most of the nodes doesn't hear of the versions that the others use.
t.test('without the store, a peer that reads it or all nodes have to answer', async (t2) => {
  const node = createNode(SimulatedTime.create());
  node.register('i-1', 'v1');
  const { answers } = node.state;
  for (const peer of ['n2', 'n3', 'n4']) answers.set(peer, undefined);
  t2.strictSame(await node.listVersions(), { isComplete: true, versions: ['v1'] });
  node.state.isStoreReadable = false;
  t2.equal((await node.listVersions()).isComplete, false);
  answers.set('n2', createAnswer({ versions: [[SERVICE, 'v2', 0]] }));
  t2.strictSame(await node.listVersions(), { isComplete: false, versions: ['v1', 'v2'] });
  answers.set('n2', createAnswer({ isStoreRead: true }));
  t2.equal((await node.listVersions()).isComplete, true);
  answers.set('n2', createAnswer()).set('n3', createAnswer());
  t2.equal((await node.listVersions()).isComplete, false);
  answers.set('n4', createAnswer());
  t2.equal((await node.listVersions()).isComplete, true);
});

// Guards against a peer that has started again and knows nothing of the streams which its predecessor began at a version
// that no other node has read.
t.test('without the store, a peer that has just started speaks for no predecessor', async (t2) => {
  const time = SimulatedTime.create();
  const node = createNode(time);
  node.register('i-1', 'v1');
  node.state.isStoreReadable = false;
  const { answers } = node.state;
  await time.runUntil(time.nowMs() + START_SPREAD_MS);
  answers.set('n2', createAnswer({ processAgeMs: START_SPREAD_MS - 1 }));
  t2.equal((await node.listVersions()).isComplete, false);
  answers.set('n2', createAnswer({ processAgeMs: START_SPREAD_MS }));
  t2.equal((await node.listVersions()).isComplete, true);
  await time.runUntil(time.nowMs() + STREAM_RETENTION_MS);
  answers.set('n2', createAnswer({ processAgeMs: STREAM_RETENTION_MS }));
  t2.equal((await node.listVersions()).isComplete, true);
});

// Guards against endpoints that lapsed in an outage of the store, and are removed by a read before its recovery is noted.
t.test('the tables are read only while their followers reach the store', async (t2) => {
  const node = createNode(SimulatedTime.create());
  node.register('i-1', 'v1');
  node.state.answers.set('n2', undefined);
  node.state.isStoreReachable = false;
  const { version } = node.endpointMirror;
  t2.equal((await node.listVersions()).isComplete, false);
  t2.equal(node.endpointMirror.version, version);
  node.state.isStoreReachable = true;
  t2.equal((await node.listVersions()).isComplete, true);
  t2.ok(node.endpointMirror.version > version);
});

// Guards against a process that takes the versions since its start for those before it.
t.test('a process knows the time before its start from the record only', async (t2) => {
  const time = SimulatedTime.create();
  const unrecorded = createNode(time, { isFirstStart: false });
  unrecorded.register('i-1', 'v2');
  t2.equal((await unrecorded.listVersions()).isComplete, false);
  await time.runUntil(time.nowMs() + STREAM_RETENTION_MS);
  t2.strictSame(await unrecorded.listVersions(), { isComplete: true, versions: ['v2'] });

  const before = createNode(time);
  before.register('i-1', 'v1');
  await before.softwareRecord.publish();
  t2.equal(before.written.size, 1);
  const later = createNode(time, { isFirstStart: false, rows: before.written });
  later.register('i-2', 'v2');
  later.state.answers.set('n2', undefined);
  t2.strictSame(await later.listVersions(), { isComplete: true, versions: ['v1', 'v2'] });
  await later.softwareRecord.publish();
  // Its last endpoint has left, so that the version doesn't count for ever.
  await time.runUntil(time.nowMs() + STREAM_RETENTION_MS + 1);
  t2.strictSame(await later.listVersions(), { isComplete: true, versions: ['v2'] });
});

// Guards against a version of which nothing is known after all nodes were killed as its first stream began.
t.test('a version is recorded as the first stream is sent to it', async (t2) => {
  const time = SimulatedTime.create();
  const node = createNode(time);
  await node.softwareRecord.recordSend(SERVICE, 'v1');
  t2.match([...node.written.values()].join(), /"used".*"v1"/);
  await node.softwareRecord.recordSend('plain', 'v1');
  await time.runUntil(time.nowMs() + STAND_IN_AGE_MS);
  await node.softwareRecord.recordSend(SERVICE, 'v1');
  t2.equal(node.written.size, 1);
});

// Guards against streams from before an outage that are refused, or joined, as another version has come since.
t.test('streams that no process knows began before the first start of all', async (t2) => {
  const time = SimulatedTime.create();
  const before = createNode(time);
  before.register('i-1', 'v1');
  await before.softwareRecord.publish();
  await time.runUntil(time.nowMs() + 2 * START_SPREAD_MS);
  const node = createNode(time, { isFirstStart: false, rows: before.written });
  node.register('i-1', 'v1');
  node.register('i-2', 'v2');
  const { answers } = node.state;
  answers.set('n2', createAnswer()).set('n3', undefined);
  t2.strictSame((await node.listVersions()).versions, ['v1', 'v2']);
  answers.set('n3', createAnswer());
  t2.strictSame(await node.listVersions(), { isComplete: true, versions: ['v1'] });
  // A process that was there before may have begun streams at the newer version.
  answers.set('n3', createAnswer({ processAgeMs: START_SPREAD_MS + 1 }));
  t2.strictSame((await node.listVersions()).versions, ['v1', 'v2']);
});

// Guards against an answer from before the question: a call in progress may have read an older state.
t.test('a call that has started is not shared with those that ask later', async (t2) => {
  const ends: (() => void)[] = [];
  const call = JoinedCall.create(
    async () =>
      new Promise<number>((resolve) => {
        const number = ends.length;
        ends.push(() => resolve(number));
      }),
  );
  const first = call.run();
  const [second, third] = [call.run(), call.run()];
  t2.equal(ends.length, 1);
  ends[0]?.();
  t2.equal(await first, 0);
  await new Promise(setImmediate);
  ends[1]?.();
  t2.strictSame([await second, await third], [1, 1]);
  const fourth = call.run();
  ends[2]?.();
  t2.equal(await fourth, 2);
});
