import { type Fingerprint, toId } from '@lovagearch/common';
import t from 'tap';
import { MAX_CRASHES_WITHOUT_OUTPUT, CRASH_RETENTION_MS, CrashCounter } from './crashCounter.js';

const FINGERPRINT = toId<Fingerprint>('f1');

t.test('a request that was in flight during a single crash is not quarantined', async (t2) => {
  const counter = CrashCounter.create();
  t2.equal(counter.recordCrash({ fingerprint: FINGERPRINT, endpointStart: 'i-1/1' }, 0), true);
  t2.equal(counter.recordCrash({ fingerprint: FINGERPRINT, endpointStart: 'i-1/1' }, 1), false);
  t2.equal(counter.isQuarantined(FINGERPRINT, 1), false);
});

t.test(
  'a request that was in flight during repeated endpoint crashes is quarantined',
  async (t2) => {
    const counter = CrashCounter.create();
    for (let crash = 0; crash < MAX_CRASHES_WITHOUT_OUTPUT; crash++) {
      t2.equal(counter.isQuarantined(FINGERPRINT, crash), false);
      counter.recordCrash({ fingerprint: FINGERPRINT, endpointStart: `i-${crash}/1` }, crash);
    }
    t2.equal(counter.isQuarantined(FINGERPRINT, MAX_CRASHES_WITHOUT_OUTPUT), true);
  },
);

t.test('crashes expire after the retention time', async (t2) => {
  const counter = CrashCounter.create();
  counter.recordCrash({ fingerprint: FINGERPRINT, endpointStart: 'i-1/1' }, 0);
  counter.recordCrash({ fingerprint: FINGERPRINT, endpointStart: 'i-2/1' }, 1);
  t2.equal(counter.isQuarantined(FINGERPRINT, CRASH_RETENTION_MS + 2), false);
  t2.equal(counter.countCrashes(FINGERPRINT, CRASH_RETENTION_MS + 2), 0);
});
