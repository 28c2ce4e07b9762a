import t from 'tap';
import { applyLoadDigest, createLoadDigest, EndpointTable } from '@lovagearch/endpoints';
import { decodeEntry, encodeEntry, entrySchema } from './loadSharing.js';

const RECORD = {
  id: 'i-1',
  startedUnixMs: 1,
  softwareVersion: 'v1',
  service: 'app',
  address: '10.0.0.1:80',
  zone: 'z1',
  slots: 6,
  state: 'ready',
  warmupRemainingMs: 0,
  heartbeat: 1,
  weights: new Map(),
} as const;

const createTable = () => {
  const table = EndpointTable.create();
  table.applyRecord(RECORD, 0);
  return { table, endpoint: table.findEndpoint(RECORD.id)! };
};

/** Passes a digest from one node to another and returns its entry on the wire. */
const passDigest = (from: EndpointTable, to: EndpointTable, nowMs: number, isReachable = true) => {
  const [wire] = createLoadDigest(from.listAll(), 300, nowMs, () => isReachable).map(encodeEntry);
  const entry = decodeEntry(entrySchema.parse(wire));
  applyLoadDigest((key) => to.findEndpointByDigestKey(key), 'n2', [entry], nowMs);
  return wire!;
};

// Guards against digests that grow, and against peers of an earlier version that reject them, where nothing is stated.
t.test('an entry without a duration of work has nine fields', async (t2) => {
  const [sender, receiver] = [createTable(), createTable()];
  sender.endpoint.recordBytesReceived(900);
  sender.endpoint.recordLoadReport({ running: 2, waiting: 0, slots: 6 }, 900);
  t2.equal(passDigest(sender.table, receiver.table, 1_000).length, 9);
  t2.equal(receiver.endpoint.lastPeerResponseAtMs, 900);
  t2.notOk(receiver.endpoint.contention.isReported);
});

// Guards against a request that is withdrawn from an engine which streams to a peer without beginning new responses.
t.test('an entry passes the duration of work and the age of the last bytes on', async (t2) => {
  const [sender, receiver] = [createTable(), createTable()];
  sender.endpoint.recordLoadReport({ running: 2, waiting: 0, slots: 6, workPercent: 300 }, 0);
  sender.endpoint.active = 1;
  sender.endpoint.recordBytesReceived(1_990);
  t2.equal(passDigest(sender.table, receiver.table, 2_000).length, 11);
  t2.equal(receiver.endpoint.lastPeerResponseAtMs, 1_990);
  t2.notOk(receiver.endpoint.contention.isReported, 'the report is too old to be passed on');
  sender.endpoint.recordLoadReport({ running: 2, waiting: 0, slots: 6, workPercent: 300 }, 2_000);
  passDigest(sender.table, receiver.table, 2_010);
  t2.ok(receiver.endpoint.contention.estimateOver(1, 2_010) > 2);
});

// Guards against peers that refuse requests as late, since the requests of a node without links wait at the endpoint.
t.test('a node that lost its link to an endpoint states no load there', async (t2) => {
  const [sender, receiver] = [createTable(), createTable()];
  sender.endpoint.recordSent({
    tokens: 1_000,
    memoryTokens: 1_000,
    ownMs: 10,
    expectedWaitMs: 0,
    roundTripMs: 1,
    mayLoadParts: false,
    sentAtMs: 0,
  });
  passDigest(sender.table, receiver.table, 900);
  t2.ok(receiver.endpoint.estimateWaitMs(900) > 800);
  passDigest(sender.table, receiver.table, 1_000, false);
  t2.ok(receiver.endpoint.estimateWaitMs(1_000) < 50);
});
