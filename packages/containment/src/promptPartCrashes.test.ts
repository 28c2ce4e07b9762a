import t from 'tap';
import {
  COMPLETION_CREDIT_MS,
  PART_CRASH_RETENTION_MS,
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
      const fingerprint = `f-${startMs}-${index}-${position}`;
      const atMs = startMs + index * 100;
      crashes.recordCrash(`i-${startMs}-${index}/1`, { fingerprint, partIds }, atMs);
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
  t2.strictSame(crashes.listQuarantines(1_300), [{ partIds: ['bad'], crashes: 3 }]);
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
    crashes.recordCrash(`i-${index}/1`, { fingerprint: 'f', partIds: ['session'] }, index);
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
    crashes.recordCrash(`i-${index}/1`, { fingerprint: `f${index}`, partIds: ['sound'] }, 0);
    for (const heartbeat of [1, 2, 3, 4]) crashes.recordHeartbeat(`i-${index}/1`, heartbeat);
  }
  t2.equal(crashes.listQuarantines(1).length, 0);
  t2.notOk(
    crashes.recordCrash('i-0/1', { fingerprint: 'f0', partIds: ['sound'] }, 2),
    'a repeated report is no crash',
  );
  for (let index = 0; index < 3; index++)
    crashes.recordCrash(`i-${index}/1`, { fingerprint: `g${index}`, partIds: ['bad'] }, 5_000);
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
