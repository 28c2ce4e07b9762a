import t from 'tap';
import { createRandom, ManualClock } from '@lovagearch/common';
import type { LeaseRow } from '@lovagearch/leases';
import {
  computeMaxUnavailable,
  createSuspensionClock,
  type LeaseStore,
  type LeaseWriteResult,
  ORDER_LEASE_MS,
  OrderLease,
  planOrders,
  type RolloutEndpoint,
  type SharedClock,
} from './index.js';

const MIN_HANDOVER_MS = 3_000;
const SEED_COUNT = 300;
const STEPS_PER_SEED = 400;
const STEP_MS = 100;

/** A store whose responses carry no reading of its clock. */
const NO_STORE_CLOCK: SharedClock = { nowMs: () => undefined, recordReading: () => undefined };

const createEndpoint = (id: string, version: number): RolloutEndpoint => ({
  id,
  startedUnixMs: 0,
  address: 'x:1',
  weights: new Map([['m0', version]]),
});

t.test('only a share of the endpoints is taken out of service at once', async (t2) => {
  const endpoints = Array.from({ length: 13 }, (_, index) => createEndpoint(`i-${index}`, 1));
  const targets = [{ model: 'm0', version: 2 }];
  const getRemainingMs = () => 30_000;
  const first = planOrders({ endpoints, targets, updating: new Set(), getRemainingMs });
  t2.equal(first.length, 3);
  const updating = new Set(first.map(({ endpoint }) => endpoint.id));
  t2.strictSame(planOrders({ endpoints, targets, updating, getRemainingMs }), []);
});

t.test('a late rollout updates more endpoints at once but leaves some in service', async (t2) => {
  t2.equal(computeMaxUnavailable(13, 13, 8_500), 4);
  t2.equal(computeMaxUnavailable(13, 13, 5_000), 7);
  t2.equal(computeMaxUnavailable(13, 13, -1), 7);
  t2.equal(computeMaxUnavailable(1, 1, 5_000), 1);
});

t.test(
  'endpoints with the target weights, newer weights or another model get no order',
  async (t2) => {
    const endpoints = [createEndpoint('i-1', 2), createEndpoint('i-2', 3)];
    const targets = [
      { model: 'm0', version: 2 },
      { model: 'm1', version: 9 },
    ];
    const getRemainingMs = () => 9_000;
    t2.strictSame(planOrders({ endpoints, targets, updating: new Set(), getRemainingMs }), []);
  },
);

// Guards against a rollout that hurries for good, or not at all, because of another version's limit.
t.test('the pace of a rollout follows the limits of the versions that are missing', async (t2) => {
  const endpoints = Array.from({ length: 13 }, (_, index) =>
    createEndpoint(`i-${index}`, index < 6 ? 1 : 2),
  );
  const plan = (remainingByVersion: readonly number[]) =>
    planOrders({
      endpoints,
      targets: [{ model: 'm0', version: 3 }],
      updating: new Set(),
      getRemainingMs: (_model, version) => remainingByVersion[version] ?? 0,
    });
  t2.equal(plan([0, 30_000, 30_000]).length, 3);
  const late = plan([0, 2_000, 30_000]);
  t2.equal(late.length, 7);
  t2.ok(late.slice(0, 6).every(({ endpoint }) => endpoint.weights.get('m0') === 1));
});

// Guards against orders that take serving endpoints out of service later than those which get no requests anyway.
t.test('endpoints of evacuated zones are updated last', async (t2) => {
  const endpoints = [createEndpoint('away', 1), createEndpoint('a', 2), createEndpoint('b', 2)];
  const plan = (updated: readonly string[]) =>
    planOrders({
      endpoints: endpoints.filter(({ id }) => !updated.includes(id)),
      targets: [{ model: 'm0', version: 3 }],
      updating: new Set(),
      isEvacuated: ({ id }) => id === 'away',
      getRemainingMs: () => 60_000,
    }).map(({ endpoint }) => endpoint.id);
  t2.strictSame(plan([]), ['a']);
  t2.strictSame(plan(['a', 'b']), ['away']);
});

/** A store for the lease's row in which writes take effect but their responses may be lost. */
const createFakeStore = (isResponseLost: () => boolean) => {
  let row: LeaseRow | null = null;
  const store: LeaseStore = {
    read: async () => ({ type: 'row', row }),
    write: async (value, ifVersion, attemptId): Promise<LeaseWriteResult> => {
      if ((row?.version ?? 0) !== ifVersion) return { type: 'conflict', current: row };
      row = { value, version: ifVersion + 1, attemptId };
      return isResponseLost()
        ? { type: 'unknown', reason: 'lost' }
        : { type: 'written', version: row.version };
    },
  };
  return { store, getRow: () => row };
};

t.test('two holders never have permits within the minimum handover time', async (t2) => {
  for (let seed = 1; seed <= SEED_COUNT; seed++) {
    const random = createRandom(seed);
    const clock = ManualClock.create();
    const { store, getRow } = createFakeStore(() => random() < 0.2);
    const leases = ['a', 'b', 'c'].map((vm) =>
      OrderLease.create({
        holder: { vm, start: '1' },
        store,
        clock,
        storeClock: NO_STORE_CLOCK,
        suspensionClock: clock,
        minHandoverMs: MIN_HANDOVER_MS,
        random,
        onChange: () => undefined,
      }),
    );
    let last: { holder: string; atMs: number } | undefined;
    for (let step = 0; step < STEPS_PER_SEED; step++) {
      clock.addMs(STEP_MS);
      const lease = leases[Math.floor(random() * leases.length)]!;
      if (random() < 0.5) lease.updateRow(getRow());
      if (random() < 0.5) await lease.confirm(undefined);
      const permit = lease.getPermit();
      if (permit === undefined) continue;
      const nowMs = clock.nowMs();
      const isHandover = last !== undefined && last.holder !== lease.holder;
      if (isHandover) t2.ok(nowMs - last!.atMs >= MIN_HANDOVER_MS, `seed ${seed} step ${step}`);
      last = { holder: lease.holder, atMs: nowMs };
    }
  }
});

t.test('a holder that was suspended has no permit until it confirms the lease', async (t2) => {
  const monotonicClock = ManualClock.create();
  let unixMs = 1_000_000;
  const { store } = createFakeStore(() => false);
  const lease = OrderLease.create({
    holder: { vm: 'a', start: '1' },
    store,
    clock: monotonicClock,
    storeClock: NO_STORE_CLOCK,
    suspensionClock: createSuspensionClock(monotonicClock, () => unixMs),
    minHandoverMs: MIN_HANDOVER_MS,
    random: () => 0,
    onChange: () => undefined,
  });
  await lease.confirm(undefined);
  t2.ok(await lease.confirm(undefined));
  t2.ok(lease.getPermit());
  unixMs += ORDER_LEASE_MS;
  t2.equal(lease.getPermit(), undefined);
  t2.ok(await lease.confirm(undefined));
});

t.test('a backward step of the wall clock does not end a lease', async (t2) => {
  const monotonicClock = ManualClock.create();
  let unixMs = 1_000_000;
  const clock = createSuspensionClock(monotonicClock, () => unixMs);
  const before = clock.nowMs();
  unixMs -= 2_400;
  t2.equal(clock.nowMs(), before);
  unixMs += 2_400;
  t2.equal(clock.nowMs(), before + 2_400);
});
