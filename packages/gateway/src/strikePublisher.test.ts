import { ManualClock, toId, type Fingerprint } from '@lovagearch/common';
import { CRASH_RETENTION_MS, CrashCounter } from '@lovagearch/containment';
import t from 'tap';
import { StrikePublisher } from './strikePublisher.js';
import { createDependencies } from './testGateway.js';

const OWN_KEY = 'strikes/n1';
const toStrike = (endpointStart: string) => ({
  fingerprint: toId<Fingerprint>('f'),
  endpointStart,
});

/** Creates the publisher of one node, with the crashes that it counts and the rows that it writes. */
const createNode = () => {
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
