import t from 'tap';
import { MAX_CRASHES_AMONG_OTHERS } from './findSuspectParts.js';
import {
  COMPLETION_CREDIT_MS,
  PART_CRASH_RETENTION_MS,
  PROBE_DELAY_MS,
  PromptPartCrashes,
} from './promptPartCrashes.js';

/** Records crashes 100 ms apart; each list has the parts of the requests in flight in one crash. */
const recordCrashes = (
  crashes: PromptPartCrashes,
  partsByCrash: readonly (readonly (readonly string[])[])[],
  startMs = 0,
) => {
  for (const [index, requests] of partsByCrash.entries()) {
    for (const [position, partIds] of requests.entries()) {
      const request = {
        fingerprint: `f-${startMs}-${index}-${position}`,
        partIds,
        reporter: 'n1',
      };
      const atMs = startMs + index * 100;
      crashes.recordCrash(`i-${startMs}-${index}/1`, request, atMs);
    }
  }
};

const BAD = [['common', 'bad']];

// Guards against counting crashes for whole requests only.
t.test('a part of three requests under which three endpoints crashed is refused', async (t2) => {
  const crashes = PromptPartCrashes.create();
  recordCrashes(crashes, [BAD, BAD]);
  t2.equal(crashes.findQuarantine(['common', 'bad'], 200), undefined, 'two crashes');
  recordCrashes(crashes, [BAD], 200);
  t2.ok(crashes.findQuarantine(['common', 'bad'], 300), 'three crashes');
  t2.ok(crashes.findQuarantine(['bad', 'new', 'common'], 300), 'whatever else the request has');
});

// Guards against refusing the sound requests that share the caller's first part.
t.test('a part of a completed request is not refused', async (t2) => {
  const crashes = PromptPartCrashes.create();
  crashes.recordCompletion(['common', 'sound'], 0, true);
  recordCrashes(crashes, [BAD, BAD, BAD], 1_000);
  t2.equal(crashes.findQuarantine(['common', 'sound'], 1_300), undefined);
  t2.strictSame(
    crashes.listQuarantines(1_300).map((quarantine) => [quarantine.partIds, quarantine.crashes]),
    [[['bad'], 3]],
  );
});

// Guards against refusing a sound part that occurred only beside the crashing one so far.
t.test('parts that always occurred together are refused only together', async (t2) => {
  const crashes = PromptPartCrashes.create();
  recordCrashes(crashes, [BAD, BAD, BAD]);
  t2.equal(crashes.findQuarantine(['common', 'sound'], 300), undefined);
  t2.ok(crashes.findQuarantine(['common', 'bad'], 300));
  crashes.recordCompletion(['common', 'sound'], 400, true);
  t2.ok(
    crashes.findQuarantine(['other', 'bad'], 500),
    'the completed request shows which is sound',
  );
});

// Guards against refusing sound requests that wait at an endpoint beside the crashing ones.
t.test('crashes that one part explains count for no other part', async (t2) => {
  const crashes = PromptPartCrashes.create();
  const beside = [...BAD, ['common', 'session']];
  recordCrashes(crashes, [beside, BAD, beside, BAD, beside]);
  t2.equal(crashes.findQuarantine(['common', 'session'], 500), undefined);
  t2.ok(crashes.findQuarantine(['common', 'bad'], 500));
});

// Guards against refusing a part because one of its requests was retried while several endpoints failed.
t.test('a request that is repeated counts once', async (t2) => {
  const crashes = PromptPartCrashes.create();
  for (let index = 0; index < 5; index++) {
    crashes.recordCrash(
      `i-${index}/1`,
      { fingerprint: 'f', partIds: ['session'], reporter: 'n1' },
      index,
    );
  }
  t2.equal(crashes.findQuarantine(['session'], 5), undefined);
});

// Guards against taking several requests of one crash for several crashes.
t.test('requests in flight in one crash count once', async (t2) => {
  const crashes = PromptPartCrashes.create();
  recordCrashes(crashes, [[['a'], ['a'], ['a'], ['a']]]);
  t2.equal(crashes.findQuarantine(['a'], 1), undefined);
});

t.test('two crashing parts are both found', async (t2) => {
  const crashes = PromptPartCrashes.create();
  const other = [['common', 'worse']];
  crashes.recordCompletion(['common'], 0, true);
  recordCrashes(crashes, [BAD, other, BAD, other, BAD, other, other]);
  t2.ok(crashes.findQuarantine(['common', 'bad'], 700));
  t2.ok(crashes.findQuarantine(['common', 'worse'], 700));
  t2.equal(crashes.findQuarantine(['common'], 700), undefined);
});

// Guards against refusing parts after connections were reset at endpoints that live on.
t.test('heartbeats refute crashes of the same start', async (t2) => {
  const crashes = PromptPartCrashes.create();
  recordCrashes(crashes, [[['a']], [['a']], [['a']]]);
  t2.ok(crashes.findQuarantine(['a'], 300));
  // Heartbeats that were written before the crash may be read after it.
  for (const heartbeat of [7, 12, 30, 30]) crashes.recordHeartbeat('i-0-0/1', heartbeat);
  t2.ok(crashes.findQuarantine(['a'], 4_000), 'three heartbeats may have been in transit');
  crashes.recordHeartbeat('i-0-0/1', 31);
  t2.equal(crashes.findQuarantine(['a'], 5_000), undefined);
});

// Guards against ignoring the crash of an endpoint that had broken off a request before, and lived on.
t.test('a crash after a refuted one of the same start counts', async (t2) => {
  const crashes = PromptPartCrashes.create();
  for (let index = 0; index < 3; index++) {
    crashes.recordCrash(
      `i-${index}/1`,
      { fingerprint: `f${index}`, partIds: ['sound'], reporter: 'n1' },
      0,
    );
    for (const heartbeat of [1, 2, 3, 4]) crashes.recordHeartbeat(`i-${index}/1`, heartbeat);
  }
  t2.equal(crashes.listQuarantines(1).length, 0);
  t2.notOk(
    crashes.recordCrash('i-0/1', { fingerprint: 'f0', partIds: ['sound'], reporter: 'n1' }, 2),
    'a repeated report is no crash',
  );
  for (let index = 0; index < 3; index++)
    crashes.recordCrash(
      `i-${index}/1`,
      { fingerprint: `g${index}`, partIds: ['bad'], reporter: 'n1' },
      5_000,
    );
  t2.ok(crashes.findQuarantine(['bad'], 5_001));
});

t.test('a completed request clears its parts of later crashes for a limited time', async (t2) => {
  const crashes = PromptPartCrashes.create();
  crashes.recordCompletion(['a'], 0, true);
  recordCrashes(crashes, [[['a']], [['a']], [['a']]], COMPLETION_CREDIT_MS - 1_000);
  t2.equal(crashes.findQuarantine(['a'], COMPLETION_CREDIT_MS), undefined);
  recordCrashes(crashes, [[['a']], [['a']], [['a']]], COMPLETION_CREDIT_MS);
  t2.ok(crashes.findQuarantine(['a'], COMPLETION_CREDIT_MS + 1_000));
});

t.test('crashes expire after the retention time', async (t2) => {
  const crashes = PromptPartCrashes.create();
  recordCrashes(crashes, [BAD, BAD, BAD]);
  t2.ok(crashes.findQuarantine(['common', 'bad'], PART_CRASH_RETENTION_MS));
  t2.equal(crashes.findQuarantine(['common', 'bad'], PART_CRASH_RETENTION_MS + 1_000), undefined);
});

t.test(
  'a part that other nodes may suspect is listed once a request with it completed',
  async (t2) => {
    const crashes = PromptPartCrashes.create();
    recordCrashes(crashes, [BAD, BAD]);
    t2.equal(crashes.listClearedParts().size, 0);
    crashes.recordCompletion(['common'], 500, true);
    t2.strictSame([...crashes.listClearedParts()], [['common', 500]]);
  },
);

t.test('a part that another node cleared is not listed again', async (t2) => {
  const crashes = PromptPartCrashes.create();
  recordCrashes(crashes, [BAD, BAD]);
  crashes.recordCompletion(['common'], 500, false);
  t2.equal(crashes.listClearedParts().size, 0);
  t2.equal(crashes.selectSuspects(['common'], 100).length, 0);
});

// Guards against a sound part that stays quarantined, since no request with it can complete any longer.
t.test('one node sends a request with quarantined parts now and then', async (t2) => {
  const crashes = PromptPartCrashes.create();
  for (let index = 0; index < 3; index++)
    crashes.recordCrash(
      `i-${index}/1`,
      { fingerprint: `f${index}`, partIds: ['a'], reporter: `n${index}` },
      0,
    );
  const countProbes = (nowMs: number) => {
    const quarantine = crashes.findQuarantine(['a'], nowMs);
    if (quarantine === undefined) return 'none';
    return ['n0', 'n1', 'n2', 'n3'].filter((node) => crashes.tryProbe(quarantine, node, nowMs))
      .length;
  };
  t2.equal(countProbes(PROBE_DELAY_MS - 1), 0);
  t2.equal(countProbes(PROBE_DELAY_MS), 1);
  t2.equal(countProbes(PROBE_DELAY_MS + 1), 0, 'its outcome is not known yet');
  crashes.recordCompletion(['a'], PROBE_DELAY_MS + 2, true);
  t2.equal(countProbes(3 * PROBE_DELAY_MS), 'none', 'the completed request ends the quarantine');
});

// Guards against probes that go on crashing endpoints.
t.test('a part that has crashed five endpoints is not probed', async (t2) => {
  const crashes = PromptPartCrashes.create();
  recordCrashes(
    crashes,
    Array.from({ length: MAX_CRASHES_AMONG_OTHERS }, () => BAD),
  );
  const quarantine = crashes.findQuarantine(['common', 'bad'], 1_000)!;
  t2.equal(crashes.tryProbe(quarantine, 'n1', 100 * PROBE_DELAY_MS), false);
});

// Guards against parts that are in flight in some of many crashes for other reasons.
t.test('three crashes among many others prove nothing, five do', async (t2) => {
  const crashes = PromptPartCrashes.create();
  const createOther = (index: number) => [[`session-${index}`]];
  const mixed = Array.from({ length: 40 }, (_, index) =>
    index % 10 === 0 ? [['rare']] : createOther(index),
  );
  recordCrashes(crashes, mixed);
  t2.equal(crashes.findQuarantine(['rare'], 5_000), undefined, 'four of 31 crashes');
  recordCrashes(crashes, [[['rare']]], 10_000);
  t2.ok(crashes.findQuarantine(['rare'], 10_000));
});

// Guards against a node that quarantines a part which others know to be sound, but of whose crashes they keep none.
t.test(
  'a part that completed before its crashes were reported is listed as cleared',
  async (t2) => {
    const crashes = PromptPartCrashes.create();
    crashes.recordCompletion(['a'], 500, true);
    recordCrashes(crashes, [[['a']], [['a']]]);
    t2.strictSame([...crashes.listClearedParts()], [['a', 500]]);
  },
);
