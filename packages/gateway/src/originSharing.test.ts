import { unpack } from 'msgpackr';
import t from 'tap';
import { SimulatedTime } from '@lovagearch/common';
import { EndpointTable } from '@lovagearch/endpoints';
import { StoreClock } from '@lovagearch/mirror';
import { STREAM_RETENTION_MS, STREAM_SENDS } from './constants.js';
import { createGatewayLog } from './gatewayLog.js';
import { OriginSharing } from './originSharing.js';
import { computeStreamKey, StreamOrigins } from './streamOrigins.js';
import { createDependencies, createRegistration } from './testGateway.js';

const SERVICE = 'app';
const NODES = ['n1', 'n2', 'n3', 'n4'];
const KEY = computeStreamKey('account', 'request-1');
const DUE_MS = 500;
const LATE_MS = 2_500;

const advance = async (time: SimulatedTime, forMs: number) => time.runUntil(time.nowMs() + forMs);

/** Creates the sharing of one node, with the rows that it writes. */
const createNode = (time: SimulatedTime, nodeName: string) => {
  const storeClock = StoreClock.create(time);
  storeClock.recordReading(1_000_000 + time.nowMs());
  const endpoints = EndpointTable.create();
  const origins = StreamOrigins.create();
  const written: { key: string; value: unknown }[] = [];
  const sharing = OriginSharing.create({
    nodeName,
    origins,
    endpoints,
    shared: {
      write: async (key, value) => {
        written.push({ key, value });
        return true;
      },
    },
    rows: createDependencies(new Map()).rows,
    clock: time,
    storeClock,
    listSharingNodes: () => NODES,
    log: createGatewayLog(nodeName, time, () => undefined),
  });
  const register = (id: string, softwareVersion: string) =>
    endpoints.applyRecord(
      {
        ...createRegistration(id, 1),
        id,
        softwareVersion,
        state: 'ready',
        weights: new Map<string, number>(),
      },
      time.nowMs(),
    );
  const record = () =>
    origins.recordStream({ key: KEY, service: SERVICE, version: 'v1', atMs: time.nowMs() });
  const applyRows = (rows: typeof written) => {
    for (const { key, value } of rows)
      sharing.applyRow({ key, version: 1, value: JSON.stringify(value) });
  };
  return { sharing, origins, endpoints, written, register, record, applyRows };
};

// Guards against datagrams and store calls for streams that can go on anywhere.
t.test('streams are shared only while several software versions are in use', async (t2) => {
  const time = SimulatedTime.create();
  const node = createNode(time, 'n1');
  node.register('i-1', 'v1');
  node.record();
  t2.strictSame(node.sharing.takeDatagrams(), []);
  node.register('i-2', 'v2');
  // A lost datagram must not lose the stream.
  for (let send = 0; send < STREAM_SENDS; send++) t2.equal(node.sharing.takeDatagrams().length, 1);
  t2.strictSame(node.sharing.takeDatagrams(), []);
});

// Guards against a stream whose version no other node knows when its node is killed.
t.test('peers learn the version of a stream from a datagram', async (t2) => {
  const time = SimulatedTime.create();
  const [sender, receiver] = [createNode(time, 'n1'), createNode(time, 'n2')];
  sender.register('i-1', 'v1');
  sender.register('i-2', 'v2');
  sender.record();
  const [datagram] = sender.sharing.takeDatagrams();
  t2.ok(receiver.sharing.applyDatagram(unpack(datagram!)));
  t2.equal(receiver.origins.findOrigin(KEY, time.nowMs())?.version, 'v1');
  t2.notOk(receiver.sharing.applyDatagram(['n1', 1, []]));
});

// Guards against a store call of every node for each stream, and against streams that nobody writes.
t.test('one node publishes the streams of all, and others step in', async (t2) => {
  const time = SimulatedTime.create();
  const nodes = NODES.map((name) => createNode(time, name));
  const [sender] = nodes;
  for (const node of nodes) {
    node.register('i-1', 'v1');
    node.register('i-2', 'v2');
  }
  sender!.record();
  const value = unpack(sender!.sharing.takeDatagrams()[0]!) as unknown;
  for (const node of nodes.slice(1)) node.sharing.applyDatagram(value);
  const countWriters = async () => {
    await Promise.all(nodes.map(async ({ sharing }) => sharing.publish()));
    return nodes.filter(({ written }) => written.some((row) => JSON.stringify(row).includes(KEY)))
      .length;
  };
  await advance(time, DUE_MS);
  t2.equal(await countWriters(), 1);
  // None has read the row, as if the first one's writes were lost.
  await advance(time, LATE_MS);
  t2.ok((await countWriters()) > 1);
});

// Guards against nodes that start after all were killed and know nothing of the streams and versions before.
t.test('a later process learns streams and versions from the rows', async (t2) => {
  const time = SimulatedTime.create();
  const nodes = NODES.map((name) => createNode(time, name));
  for (const node of nodes) {
    node.register('i-1', 'v1');
    node.register('i-2', 'v2');
    node.record();
  }
  await advance(time, LATE_MS);
  await Promise.all(nodes.map(async ({ sharing }) => sharing.publish()));
  const later = createNode(time, 'n1');
  later.applyRows(nodes.flatMap(({ written }) => written));
  t2.equal(later.origins.findOrigin(KEY, time.nowMs())?.version, 'v1');
  t2.equal(later.endpoints.listSoftware(SERVICE, time.nowMs(), STREAM_RETENTION_MS).length, 2);
  await advance(time, STREAM_RETENTION_MS + 1);
  t2.equal(later.origins.findOrigin(KEY, time.nowMs()), undefined);
  t2.equal(later.endpoints.listSoftware(SERVICE, time.nowMs(), STREAM_RETENTION_MS).length, 0);
});

// Guards against a node that is not told of the streams of its peers, as it was cut off when they began.
t.test('a node learns streams and versions from the statement of a peer', async (t2) => {
  const time = SimulatedTime.create();
  const [peer, node] = [createNode(time, 'n1'), createNode(time, 'n2')];
  peer.register('i-1', 'v1');
  peer.record();
  await advance(time, DUE_MS);
  const statement = peer.sharing.createStatement(DUE_MS, STREAM_RETENTION_MS);
  t2.equal(statement.processAgeMs, DUE_MS);
  node.sharing.applyStatement(statement);
  t2.equal(node.origins.findOrigin(KEY, time.nowMs())?.version, 'v1');
  t2.strictSame(node.endpoints.listSoftware(SERVICE, time.nowMs(), STREAM_RETENTION_MS), [
    { version: 'v1', fromMs: Number.NEGATIVE_INFINITY, untilMs: time.nowMs() },
  ]);
  t2.strictSame(peer.sharing.createStatement(DUE_MS, DUE_MS - 1).streams, []);
});

// Guards against a client account that changes where the streams of another one go on.
t.test('accounts have streams of their own', async (t2) => {
  t2.not(computeStreamKey('a', 'request'), computeStreamKey('b', 'request'));
});

// Guards against a row of another writer that ends the process.
t.test('a malformed row is ignored', async (t2) => {
  const time = SimulatedTime.create();
  const node = createNode(time, 'n1');
  node.applyRows([{ key: 'streams/n2/1', value: { streams: 7 } }]);
  t2.equal(node.origins.listServices().length, 0);
});
