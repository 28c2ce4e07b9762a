import { type Fingerprint, toId } from '@lovagearch/common';
import t from 'tap';
import { MAX_STRIKES, STRIKE_MEMORY_MS, StrikeLedger } from './strikeLedger.js';

const FINGERPRINT = toId<Fingerprint>('f1');

t.test('a request in flight at one crash by chance is not quarantined', async (t2) => {
  const ledger = StrikeLedger.create();
  t2.equal(ledger.recordStrike({ fingerprint: FINGERPRINT, endpointStart: 'i-1/1' }, 0), true);
  t2.equal(ledger.recordStrike({ fingerprint: FINGERPRINT, endpointStart: 'i-1/1' }, 1), false);
  t2.equal(ledger.isQuarantined(FINGERPRINT, 1), false);
});

t.test(
  'a request under which endpoints crash again and again reaches no further one',
  async (t2) => {
    const ledger = StrikeLedger.create();
    for (let crash = 0; crash < MAX_STRIKES; crash++) {
      t2.equal(ledger.isQuarantined(FINGERPRINT, crash), false);
      ledger.recordStrike({ fingerprint: FINGERPRINT, endpointStart: `i-${crash}/1` }, crash);
    }
    t2.equal(ledger.isQuarantined(FINGERPRINT, MAX_STRIKES), true);
  },
);

t.test('strikes of long ago are forgotten', async (t2) => {
  const ledger = StrikeLedger.create();
  ledger.recordStrike({ fingerprint: FINGERPRINT, endpointStart: 'i-1/1' }, 0);
  ledger.recordStrike({ fingerprint: FINGERPRINT, endpointStart: 'i-2/1' }, 1);
  t2.equal(ledger.isQuarantined(FINGERPRINT, STRIKE_MEMORY_MS + 2), false);
  t2.equal(ledger.countStrikes(FINGERPRINT, STRIKE_MEMORY_MS + 2), 0);
});
