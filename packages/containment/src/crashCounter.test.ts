import { type Fingerprint, toId } from '@lovagearch/common';
import t from 'tap';
import { MAX_CRASHES_WITHOUT_OUTPUT, CRASH_RETENTION_MS, CrashCounter } from './crashCounter.js';

const FINGERPRINT = toId<Fingerprint>('f1');

t.test('a request in flight at one crash by chance is not quarantined', async (t2) => {
  const ledger = CrashCounter.create();
  t2.equal(ledger.recordCrash({ fingerprint: FINGERPRINT, endpointStart: 'i-1/1' }, 0), true);
  t2.equal(ledger.recordCrash({ fingerprint: FINGERPRINT, endpointStart: 'i-1/1' }, 1), false);
  t2.equal(ledger.isQuarantined(FINGERPRINT, 1), false);
});

t.test(
  'a request under which endpoints crash again and again reaches no further one',
  async (t2) => {
    const ledger = CrashCounter.create();
    for (let crash = 0; crash < MAX_CRASHES_WITHOUT_OUTPUT; crash++) {
      t2.equal(ledger.isQuarantined(FINGERPRINT, crash), false);
      ledger.recordCrash({ fingerprint: FINGERPRINT, endpointStart: `i-${crash}/1` }, crash);
    }
    t2.equal(ledger.isQuarantined(FINGERPRINT, MAX_CRASHES_WITHOUT_OUTPUT), true);
  },
);

t.test('strikes of long ago are forgotten', async (t2) => {
  const ledger = CrashCounter.create();
  ledger.recordCrash({ fingerprint: FINGERPRINT, endpointStart: 'i-1/1' }, 0);
  ledger.recordCrash({ fingerprint: FINGERPRINT, endpointStart: 'i-2/1' }, 1);
  t2.equal(ledger.isQuarantined(FINGERPRINT, CRASH_RETENTION_MS + 2), false);
  t2.equal(ledger.countCrashes(FINGERPRINT, CRASH_RETENTION_MS + 2), 0);
});
