import { type Fingerprint, toId } from '@lovagearch/common';
import t from 'tap';
import {
  CRASH_RETENTION_MS,
  CrashCounter,
  MAX_CRASHES_WITHOUT_OUTPUT,
  MAX_PROBED_CRASHES,
  MAX_REQUEST_CRASHES,
  REQUEST_PROBE_DELAY_MS,
} from './crashCounter.js';

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

const NODE = 'n1';
const POISON = toId<Fingerprint>('poison');
const SOUND = toId<Fingerprint>('sound');

const recordCrash = (
  counter: CrashCounter,
  endpointStart: string,
  fingerprints: readonly Fingerprint[],
  atMs: number,
) => {
  for (const fingerprint of fingerprints)
    counter.recordCrash({ fingerprint, endpointStart, hasOutput: true }, atMs, NODE);
};

// Guards against a request that crashes endpoints for ever, as it does so after its first event.
t.test('a request that crashes endpoints after its output is quarantined', async (t2) => {
  const counter = CrashCounter.create();
  for (let crash = 0; crash < MAX_REQUEST_CRASHES; crash++) {
    t2.equal(counter.isQuarantined(POISON, crash), false);
    recordCrash(counter, `i-${crash}/1`, [POISON, toId<Fingerprint>(`sound-${crash}`)], crash);
  }
  t2.equal(counter.isQuarantined(POISON, MAX_REQUEST_CRASHES), true);
  for (let crash = 0; crash < MAX_REQUEST_CRASHES; crash++)
    t2.equal(counter.isQuarantined(toId<Fingerprint>(`sound-${crash}`), 10), false);
});

// Guards against crashes that begin again when a quarantined request was not sent for a while.
t.test('a request is still quarantined minutes after its last crash', async (t2) => {
  const counter = CrashCounter.create();
  for (let crash = 0; crash < MAX_REQUEST_CRASHES; crash++)
    recordCrash(counter, `i-${crash}/1`, [POISON], crash);
  t2.equal(counter.isQuarantined(POISON, 300_000), true);
});

// Guards against sound requests that are held back because they were resumed on the same endpoints.
t.test('of two requests in the same crashes, a probe shows the sound one', async (t2) => {
  for (const first of [POISON, SOUND]) {
    const counter = CrashCounter.create();
    for (let crash = 0; crash < MAX_REQUEST_CRASHES; crash++)
      recordCrash(counter, `i-${crash}/1`, [POISON, SOUND], crash);
    t2.equal(counter.isQuarantined(SOUND, 10), true);
    t2.equal(counter.tryProbe(first, NODE, 10), false, 'too early');
    const probedAtMs = 10 + REQUEST_PROBE_DELAY_MS;
    t2.equal(counter.tryProbe(first, 'n2', probedAtMs), false, 'another node probes');
    t2.equal(counter.tryProbe(first, NODE, probedAtMs), true);
    t2.equal(counter.tryProbe(first, NODE, probedAtMs + 1), false, 'one at a time');
    if (first === POISON) recordCrash(counter, 'i-probed/1', [POISON], probedAtMs + 5);
    else counter.recordCompletion(SOUND, probedAtMs + 5);
    t2.equal(counter.isQuarantined(SOUND, probedAtMs + 10), false);
    t2.equal(counter.isQuarantined(POISON, probedAtMs + 10), true);
  }
});

t.test('a request that crashes endpoints is probed only a few times', async (t2) => {
  const counter = CrashCounter.create();
  let nowMs = 0;
  let crashes = 0;
  for (let attempt = 0; attempt < 1_000; attempt++) {
    nowMs += 500;
    if (counter.isQuarantined(POISON, nowMs) && !counter.tryProbe(POISON, NODE, nowMs)) continue;
    crashes += 1;
    recordCrash(counter, `i-${crashes}/1`, [POISON], nowMs);
  }
  t2.equal(crashes, MAX_PROBED_CRASHES);
});

// Guards against a path that is held back for all callers, as endpoints lost answers and lived on.
t.test('heartbeats of an endpoint refute its crash', async (t2) => {
  const counter = CrashCounter.create();
  for (let crash = 0; crash < MAX_REQUEST_CRASHES; crash++)
    recordCrash(counter, `i-${crash}/1`, [SOUND], crash);
  t2.equal(counter.isQuarantined(SOUND, 10), true);
  for (let heartbeat = 0; heartbeat < 4; heartbeat++) counter.recordHeartbeat('i-0/1', heartbeat);
  t2.equal(counter.isQuarantined(SOUND, 20), false);
  t2.equal(counter.countCrashes(SOUND, 20), MAX_REQUEST_CRASHES - 1);
});

// Guards against a popular path that is held back because it is in flight in each crash.
t.test('a request that is answered between crashes is never quarantined', async (t2) => {
  const counter = CrashCounter.create();
  for (let crash = 0; crash < 10; crash++) {
    recordCrash(counter, `i-${crash}/1`, [POISON, SOUND], 10 * crash);
    counter.recordCompletion(SOUND, 10 * crash + 5);
    t2.equal(counter.isQuarantined(SOUND, 10 * crash + 6), false);
  }
  t2.equal(counter.isQuarantined(POISON, 100), true);
});
