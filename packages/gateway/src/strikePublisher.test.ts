import { ManualClock, toId, type Fingerprint } from '@lovagearch/common';
import { CRASH_RETENTION_MS, CrashCounter } from '@lovagearch/containment';
import { StoreClock } from '@lovagearch/mirror';
import t from 'tap';
import { MAX_PUBLISHED_STRIKES, MAX_SEPARATE_CRASHES } from './constants.js';
import { computeFingerprint, StrikePublisher } from './strikePublisher.js';
import { createDependencies } from './testGateway.js';

const OWN_KEY = 'strikes/n1';
const toStrike = (endpointStart: string) => ({
  fingerprint: toId<Fingerprint>('f'),
  endpointStart,
});

/** Creates the publisher of one node, with the crashes that it counts and the rows that it writes. */
const createNode = (storeClock?: StoreClock) => {
  const clock = ManualClock.create();
  const strikes = CrashCounter.create();
  const written: unknown[] = [];
  const publisher = StrikePublisher.create({
    nodeName: 'n1',
    shared: {
      write: async (_key, value) => {
        written.push(value);
        return true;
      },
    },
    rows: createDependencies(new Map()).rows,
    strikes,
    clock,
    ...(storeClock === undefined ? {} : { storeClock }),
    log: {
      logStateChange: () => undefined,
      logRequest: () => undefined,
      logProblem: () => undefined,
      flush: () => undefined,
    },
  });
  return { clock, publisher, strikes, written };
};

const createRow = (key: string, endpointStart: string) => ({
  key,
  version: 1,
  value: JSON.stringify({ strikes: [['f', endpointStart]] }),
});

// Guards against a restart after which no other node that starts learns of the earlier crashes.
t.test('a restarted node publishes its earlier strikes beside new ones', async (t2) => {
  const { publisher, written } = createNode();
  publisher.applyRow(createRow(OWN_KEY, 'i-1/1'));
  publisher.applyRow(createRow('strikes/n2', 'i-2/1'));
  await publisher.publish();
  t2.equal(written.length, 0, 'nothing is new');
  publisher.addStrike(toStrike('i-3/1'));
  await publisher.publish();
  const expected = [
    ['f', 'i-1/1'],
    ['f', 'i-3/1'],
  ];
  t2.strictSame(written, [{ strikes: expected }]);
});

// Guards against nodes that count an expired crash as a new one, which quarantines the request again.
t.test('a strike that has expired is not published again', async (t2) => {
  const { clock, publisher, written } = createNode();
  publisher.addStrike(toStrike('i-1/1'));
  await publisher.publish();
  clock.addMs(CRASH_RETENTION_MS + 1);
  publisher.addStrike(toStrike('i-2/1'));
  await publisher.publish();
  t2.strictSame(written.at(-1), { strikes: [['f', 'i-2/1']] });
});

// Guards against an own row, as each write is read back, that keeps its strikes from expiring.
t.test('a strike that the node reads back from its own row still expires', async (t2) => {
  const { clock, publisher, written } = createNode();
  publisher.addStrike(toStrike('i-1/1'));
  clock.addMs(CRASH_RETENTION_MS / 2);
  publisher.applyRow(createRow(OWN_KEY, 'i-1/1'));
  clock.addMs(CRASH_RETENTION_MS / 2 + 1);
  publisher.addStrike(toStrike('i-2/1'));
  await publisher.publish();
  t2.strictSame(written, [{ strikes: [['f', 'i-2/1']] }]);
});

t.test('the strikes of other nodes are counted', async (t2) => {
  const { clock, publisher, strikes } = createNode();
  publisher.applyRow(createRow('strikes/n2', 'i-1/1'));
  publisher.applyRow(createRow('strikes/n3', 'i-2/1'));
  publisher.applyRow({ key: 'strikes/n4', version: 1, value: '{"strikes":7}' });
  t2.ok(strikes.isQuarantined(toId<Fingerprint>('f'), clock.nowMs()));
});

// Guards against a restart that dates all strikes anew, so that they count for a minute from each restart on.
t.test('a strike expires by the time at which it was seen, also after a restart', async (t2) => {
  const storeTime = ManualClock.create(5_000_000);
  const storeClock = StoreClock.create(storeTime);
  storeClock.recordReading(storeTime.nowMs());
  const first = createNode(storeClock);
  first.publisher.addStrike(toStrike('i-1/1'));
  await first.publisher.publish();
  const row = { key: OWN_KEY, version: 1, value: JSON.stringify(first.written.at(-1)) };
  storeTime.addMs(CRASH_RETENTION_MS - 1_000);
  const restarted = createNode(storeClock);
  restarted.publisher.applyRow(row);
  const fingerprint = toId<Fingerprint>('f');
  t2.equal(restarted.strikes.countCrashes(fingerprint, restarted.clock.nowMs()), 1);
  restarted.clock.addMs(1_001);
  t2.equal(restarted.strikes.countCrashes(fingerprint, restarted.clock.nowMs()), 0);
  storeTime.addMs(1_001);
  const late = createNode(storeClock);
  late.publisher.applyRow(row);
  t2.equal(late.strikes.countCrashes(fingerprint, late.clock.nowMs()), 0);
  late.publisher.addStrike(toStrike('i-2/1'));
  await late.publisher.publish();
  t2.equal(JSON.stringify(late.written.at(-1)).includes('i-1/1'), false);
});

const createStrike = (index: number) => ({
  fingerprint: computeFingerprint('account', `/path/${index}`, undefined),
  endpointStart: `i-1e47e4f4c1${index}/1774670821958`,
  hasOutput: true,
});

// Guards against nodes that are busy copying each other's strikes after many endpoints crashed at once.
t.test(
  'a node publishes many strikes of endpoints that had begun to answer in few bytes',
  async (t2) => {
    const storeTime = ManualClock.create(5_000_000);
    const storeClock = StoreClock.create(storeTime);
    storeClock.recordReading(storeTime.nowMs());
    const first = createNode(storeClock);
    const strikes = Array.from({ length: MAX_PUBLISHED_STRIKES }, (_, index) =>
      createStrike(index),
    );
    for (const [index, strike] of strikes.entries()) {
      if (index === MAX_PUBLISHED_STRIKES - 1) first.clock.addMs(400);
      first.publisher.recordStrike(strike, first.clock.nowMs());
      await first.publisher.publish();
    }
    const value = JSON.stringify(first.written.at(-1));
    t2.ok(value.length < 4_096, `${value.length} bytes`);
    const second = createNode(storeClock);
    second.publisher.applyRow({ key: 'strikes/n2', version: 1, value });
    second.publisher.applyRow({ key: 'strikes/n2', version: 2, value });
    for (const { fingerprint } of strikes) {
      t2.equal(second.strikes.countCrashes(fingerprint, 0), 1);
      t2.equal(second.strikes.isQuarantined(fingerprint, 0), false);
    }
    t2.equal(second.strikes.countCrashes(strikes[0]!.fingerprint, CRASH_RETENTION_MS - 400), 1);
    t2.equal(second.strikes.countCrashes(strikes[0]!.fingerprint, CRASH_RETENTION_MS - 399), 0);
  },
);

t.test('crashes that several nodes saw of a request after its output add up', async (t2) => {
  const storeTime = ManualClock.create(5_000_000);
  const storeClock = StoreClock.create(storeTime);
  storeClock.recordReading(storeTime.nowMs());
  const reader = createNode(storeClock);
  const { fingerprint } = createStrike(0);
  for (let crash = 0; crash < 3; crash++) {
    const node = createNode(storeClock);
    const endpointStart = `i-${crash}/1`;
    node.publisher.recordStrike({ fingerprint, endpointStart, hasOutput: true }, 0);
    await node.publisher.publish();
    const value = JSON.stringify(node.written.at(-1));
    reader.publisher.applyRow({ key: `strikes/m${crash}`, version: 1, value });
    // The form of an earlier release, with the whole fingerprint, is the same crash.
    const longRow = { strikes: [[`${fingerprint}tail`, endpointStart, storeTime.nowMs(), 1]] };
    const longValue = JSON.stringify(longRow);
    reader.publisher.applyRow({ key: `strikes/k${crash}`, version: 1, value: longValue });
    t2.equal(reader.strikes.countCrashes(fingerprint, 0), crash + 1);
  }
  t2.equal(reader.strikes.isQuarantined(fingerprint, 0), true);
  for (let heartbeat = 1; heartbeat <= 4; heartbeat++)
    reader.publisher.recordHeartbeat('i-1/1', heartbeat);
  t2.equal(reader.strikes.countCrashes(fingerprint, 0), 2, 'the endpoint lives');
});

t.test('a row with malformed strikes is rejected as a whole', async (t2) => {
  const { publisher, strikes } = createNode();
  publisher.applyRow({
    key: 'strikes/n2',
    version: 1,
    value: JSON.stringify({ strikes: [['f', 'i-1/1']], answered: 'AAAA' }),
  });
  t2.ok(strikes.isEmpty);
});

// Guards against nodes that all publish all requests on many endpoints that crash at once.
t.test('of a crash of many endpoints, only requests in another crash are published', async (t2) => {
  const { publisher, strikes, written } = createNode();
  const suspect = createStrike(0);
  publisher.recordStrike(suspect, 0);
  await publisher.publish();
  t2.equal(written.length, 1, 'a crash of one endpoint');
  for (let index = 1; index <= MAX_SEPARATE_CRASHES; index++)
    publisher.recordStrike(createStrike(index), 0);
  publisher.recordStrike({ ...suspect, endpointStart: 'i-other/1' }, 0);
  await publisher.publish();
  const unanswered = { ...createStrike(99), hasOutput: false };
  for (let index = 11; index <= 11 + MAX_SEPARATE_CRASHES; index++)
    publisher.recordStrike(createStrike(index), 0);
  publisher.recordStrike(unanswered, 0);
  await publisher.publish();
  const reader = createNode();
  const value = JSON.stringify(written.at(-1));
  reader.publisher.applyRow({ key: 'strikes/n2', version: 1, value });
  t2.equal(reader.strikes.countCrashes(suspect.fingerprint, 0), 2);
  t2.equal(reader.strikes.countCrashes(unanswered.fingerprint, 0), 1);
  for (const index of [1, MAX_SEPARATE_CRASHES, 11, 11 + MAX_SEPARATE_CRASHES]) {
    const { fingerprint } = createStrike(index);
    t2.equal(reader.strikes.countCrashes(fingerprint, 0), 0);
    t2.equal(strikes.countCrashes(fingerprint, 0), 1, 'this node counts it');
  }
});
