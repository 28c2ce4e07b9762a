import t from 'tap';
import { EndpointColdness, REGISTRATION_LAG_MS, RequestRateLimit } from './index.js';

const COLD_MS = 8_000;

const createCrashed = (atMs: number) => {
  const coldness = EndpointColdness.create();
  coldness.applyRegistration({ heartbeat: 5, warmupRemainingMs: 0 }, atMs - 500);
  coldness.recordCrash(5, atMs);
  return coldness;
};

t.test(
  'a registration counts down from its receipt, and a repeated one does not start again',
  async (t2) => {
    const coldness = EndpointColdness.create();
    coldness.applyRegistration({ heartbeat: 1, warmupRemainingMs: 2_000 }, 0);
    coldness.applyRegistration({ heartbeat: 1, warmupRemainingMs: 2_000 }, 1_500);
    t2.ok(coldness.isCold(1_999));
    t2.notOk(coldness.isCold(2_000));
    // Guards against an endpoint that becomes cold again while it runs.
    coldness.applyRegistration({ heartbeat: 9, warmupRemainingMs: 3_000 }, 5_000);
    t2.ok(coldness.isCold(7_999));
  },
);

// Guards against a registration from before a crash that makes the endpoint look warm.
t.test('only a registration written after a crash refutes it', async (t2) => {
  const coldness = createCrashed(1_000);
  coldness.applyRegistration({ heartbeat: 7, warmupRemainingMs: 0 }, 1_900);
  t2.ok(coldness.isCold(60_000), 'it may have been written before');
  coldness.applyRegistration({ heartbeat: 5, warmupRemainingMs: 1 }, 1_000 + REGISTRATION_LAG_MS);
  t2.ok(coldness.isCold(60_000), 'its heartbeat is not newer');
  coldness.applyRegistration({ heartbeat: 9, warmupRemainingMs: 0 }, 1_000 + REGISTRATION_LAG_MS);
  t2.notOk(coldness.isCold(1_000 + REGISTRATION_LAG_MS));
});

// Guards against an endpoint that stays cold for good without the store, or is taken for warm too early.
t.test('a crashed endpoint is cold for its cold time after requests succeed again', async (t2) => {
  const coldness = createCrashed(1_000);
  coldness.recordResponse(undefined, true, COLD_MS, 900, 1_100);
  t2.ok(coldness.isCold(60_000), 'a request from before the crash shows nothing');
  coldness.recordResponse(undefined, false, COLD_MS, 1_200, 1_300);
  t2.ok(coldness.isCold(60_000), 'nor does a failed one');
  coldness.recordResponse(undefined, true, COLD_MS, 3_000, 4_000);
  coldness.recordResponse(undefined, true, COLD_MS, 5_000, 6_000);
  t2.ok(coldness.isCold(4_000 + COLD_MS - 1));
  t2.notOk(coldness.isCold(4_000 + COLD_MS));
});

t.test(
  'the header of a response counts at once, unless its request is older than the evidence',
  async (t2) => {
    const coldness = createCrashed(1_000);
    coldness.recordResponse(0, true, COLD_MS, 900, 1_100);
    t2.ok(coldness.isCold(1_100));
    coldness.recordResponse(0, true, COLD_MS, 1_200, 1_300);
    t2.notOk(coldness.isCold(1_300));
    coldness.recordResponse(4_000, true, COLD_MS, 2_000, 2_100);
    coldness.applyRegistration({ heartbeat: 6, warmupRemainingMs: 0 }, 2_500);
    t2.ok(coldness.isCold(6_099), 'a registration that was on its way does not overrule it');
    t2.notOk(coldness.isCold(6_100));
  },
);

t.test('a restart and a restored zone count as cold until a later registration', async (t2) => {
  const restarted = EndpointColdness.create();
  restarted.recordRestart({ heartbeat: 0, warmupRemainingMs: 0 }, COLD_MS, 0);
  t2.ok(restarted.isCold(COLD_MS - 1));
  restarted.applyRegistration({ heartbeat: 1, warmupRemainingMs: 0 }, 1_000);
  t2.notOk(restarted.isCold(1_000));
  const restored = EndpointColdness.create();
  restored.recordZoneRestored(4, COLD_MS, 0);
  t2.match(restored.takeChange(0), { type: 'cold', reason: 'zone_restored', forMs: COLD_MS });
  restored.applyRegistration({ heartbeat: 5, warmupRemainingMs: 0 }, 1_000);
  t2.ok(restored.isCold(1_000));
  restored.applyRegistration({ heartbeat: 9, warmupRemainingMs: 0 }, REGISTRATION_LAG_MS);
  t2.match(restored.takeChange(REGISTRATION_LAG_MS), { type: 'warm' });
  t2.equal(restored.takeChange(REGISTRATION_LAG_MS), undefined);
});

// Guards against a cold endpoint whose looser limit replaces the one that it named, or stays when it is warm.
t.test('the stricter of a named limit and that of a cold endpoint applies', async (t2) => {
  const limit = RequestRateLimit.create();
  limit.setColdLimit(16);
  t2.equal(limit.limitPerS, 16);
  limit.applyStatement({ type: 'named', requestsPerS: 3 }, 0, 0);
  t2.equal(limit.limitPerS, 3);
  limit.applyStatement({ type: 'none' }, 1, 1);
  t2.equal(limit.limitPerS, 16);
  limit.setColdLimit(undefined);
  t2.equal(limit.limitPerS, undefined);
});
