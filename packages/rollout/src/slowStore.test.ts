import t from 'tap';
import { processClock } from '@lovagearch/common';
import type { LeaseRow } from '@lovagearch/leases';
import { type LeaseStore, OrderLease, RolloutCoordinator, type RolloutEndpoint } from './index.js';

/** Time that a write to the slow store takes; one of the users' stores takes 5 ms, slowed 50 times. */
const WRITE_MS = 250;
/** Announcements without an order after which the rollout counts as blocked. */
const MAX_ANNOUNCEMENTS = 3;

const ENDPOINT: RolloutEndpoint = {
  id: 'i-1',
  startedUnixMs: 0,
  address: 'x:1',
  weights: new Map([['m0', 1]]),
};

/** A store for the lease's row that takes time for each write and counts the announced orders. */
const createSlowStore = (onAnnounced: () => void): LeaseStore => {
  let row: LeaseRow | null = null;
  return {
    read: async () => ({ type: 'row', row }),
    write: async (value, ifVersion, attemptId, announced) => {
      await new Promise((resolve) => {
        setTimeout(resolve, WRITE_MS);
      });
      if ((row?.version ?? 0) !== ifVersion) return { type: 'conflict', current: row };
      row = { value, version: ifVersion + 1, attemptId };
      if (announced !== undefined) onAnnounced();
      return { type: 'written', version: row.version };
    },
  };
};

// Guards against a permit that expires between the announcement and its order. Each try renews the lease
// and keeps requests away from the endpoint, so no other node takes over and the rollout stands still.
t.test('a holder whose store is slow sends the orders that it announces', async (t2) => {
  let orders = 0;
  let announcements = 0;
  // The coordinator's own timer does not keep the process alive.
  const keepAlive = setInterval(() => undefined, 1_000);
  t2.teardown(() => clearInterval(keepAlive));
  await new Promise<void>((resolve) => {
    const lease = OrderLease.create({
      holder: { vm: 'a', start: '1' },
      store: createSlowStore(() => {
        announcements += 1;
        if (announcements > MAX_ANNOUNCEMENTS) resolve();
      }),
      clock: processClock,
      suspensionClock: processClock,
      storeClock: { nowMs: () => undefined, recordReading: () => undefined },
      minHandoverMs: 3_000,
      random: () => 0,
      onChange: () => undefined,
    });
    const coordinator = RolloutCoordinator.create({
      lease,
      client: {
        readReport: async () => ({
          acceptedOrders: 0,
          isBusy: false,
          requests: 0,
          weights: ENDPOINT.weights,
          isLeaving: false,
        }),
        sendOrder: async () => {
          orders += 1;
          resolve();
          return { type: 'accepted' };
        },
      },
      clock: processClock,
      random: () => 0,
      listEndpoints: () => [ENDPOINT],
      listTargets: () => [{ model: 'm0', version: 2 }],
      getRemainingMs: () => 10_000,
      onEvent: () => undefined,
      onWeightsReported: () => undefined,
      onLeavingReported: () => undefined,
    });
    t2.teardown(() => coordinator.stop());
    coordinator.run().catch((error: unknown) => t2.fail(String(error)));
  });
  t2.ok(orders > 0, `${announcements} announcements, ${orders} orders`);
});
