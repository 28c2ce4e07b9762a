import { ManualClock } from '@lovagearch/common';
import t from 'tap';
import { Lease, type LeaseEra, type LeaseRow, type LeaseTimes } from './index.js';

const TIMES: LeaseTimes = {
  durationMs: 1_500,
  renewalIntervalMs: 0,
  watchIntervalMs: 0,
  takeoverDelayMs: 3_500,
};
const FENCING_FLOOR = 1_000;
const MAX_WAIT_MS = TIMES.durationMs + TIMES.takeoverDelayMs;
const STEP_MS = 100;

/** Processes with leases on one row, which a restore sets back. */
const createTable = () => {
  const clock = ManualClock.create();
  let row: LeaseRow | null = null;
  let era: LeaseEra | undefined;
  let attempts = 0;
  const createHolder = (name: string) => {
    const createAttemptId = () => {
      attempts += 1;
      return `attempt-${attempts}`;
    };
    const lease = Lease.create(name, TIMES, createAttemptId, {
      getStoreMs: () => undefined,
      isPredecessor: () => false,
      getEra: () => era,
    });
    /** Takes one step; returns the fencing token of a lease that is held. */
    const takeStep = (): number | undefined => {
      const step = lease.getNextStep(clock.nowMs());
      if (step.type === 'read') lease.recordRead(row, clock.nowMs());
      if (step.type !== 'write') return lease.getFencingToken(clock.nowMs());
      const { value, ifVersion, attemptId } = step.write;
      if ((row?.version ?? 0) !== ifVersion) {
        lease.recordConflict(row, clock.nowMs());
        return undefined;
      }
      row = { value, version: ifVersion + 1, attemptId };
      lease.recordWritten(step.write, row.version, clock.nowMs());
      return lease.getFencingToken(clock.nowMs());
    };
    return { lease, takeStep };
  };
  const restore = (copy: LeaseRow | null, ...leases: Lease[]) => {
    row = copy;
    era = { fencingFloor: FENCING_FLOOR, sinceMs: clock.nowMs() };
    for (const lease of leases) lease.startEra();
  };
  return { clock, createHolder, restore, getRow: () => row };
};

type Holder = ReturnType<ReturnType<typeof createTable>['createHolder']>;

/** Returns the time until a holder has the lease, and its token. */
const waitForLease = (clock: ManualClock, { takeStep }: Holder) => {
  for (let waitedMs = 0; waitedMs <= 2 * MAX_WAIT_MS; waitedMs += STEP_MS) {
    const fencing = takeStep();
    if (fencing !== undefined) return { waitedMs, fencing };
    clock.addMs(STEP_MS);
  }
  throw new Error('the lease is never held');
};

// Guards against two holders after a restore that lost the row of a lease.
t.test('a lease is not taken before one that was held at a restore has ended', async (t2) => {
  const { clock, createHolder, restore } = createTable();
  const first = createHolder('first');
  const second = createHolder('second');
  waitForLease(clock, first);
  restore(null, second.lease);
  const { waitedMs, fencing } = waitForLease(clock, second);
  t2.ok(waitedMs >= MAX_WAIT_MS, `taken after ${waitedMs} ms`);
  t2.ok(fencing > FENCING_FLOOR, 'receivers that check tokens accept it');
});

// Guards against a restored row of an earlier holder, by whose age the lease looks free.
t.test('a restored row does not shorten the wait, nor give the lease back', async (t2) => {
  const { clock, createHolder, restore, getRow } = createTable();
  const first = createHolder('first');
  waitForLease(clock, first);
  const copy = getRow();
  clock.addMs(10 * MAX_WAIT_MS);
  restore(copy, first.lease);
  t2.equal(first.lease.getFencingToken(clock.nowMs()), undefined);
  t2.ok(waitForLease(clock, first).waitedMs >= MAX_WAIT_MS);
});

// Guards against a write of before a restore that meets the same version of another row.
t.test('a write from before a restore does not give the lease', async (t2) => {
  const { clock, createHolder, restore } = createTable();
  const { lease, takeStep } = createHolder('first');
  takeStep();
  const step = lease.getNextStep(clock.nowMs());
  if (step.type !== 'write') throw new Error('the lease is not written');
  const { value, attemptId } = step.write;
  restore({ value, version: 7, attemptId }, lease);
  t2.equal(takeStep(), undefined);
  t2.equal(lease.getFencingToken(clock.nowMs()), undefined);
});
