import { fastify } from 'fastify';
import t from 'tap';
import { createReceiveLimits } from '@lovagearch/bounded-http';
import { SimulatedTime } from '@lovagearch/common';
import { MirrorFollower, type ReadResult, StoreClock, TableMirror } from '@lovagearch/mirror';
import { ClusterState, computeMinOutageMs } from './clusterState.js';
import { EXPIRY_GRACE_MS, HOUSEKEEPING_INTERVAL_MS } from './constants.js';
import { OutageCheck } from './outageCheck.js';
import { createContinuitySource, registerContinuityRoute } from './peerContinuity.js';
import { createEndpointTableTiming } from './tableTiming.js';
import { createDependencies, createRegistration, SETTINGS } from './testGateway.js';

const ROUND_TRIP_MS = 20;
const HEARTBEAT_MS = SETTINGS.heartbeatMs;
const UNAVAILABLE = {
  type: 'failure',
  failure: { type: 'unavailable', reason: 'timeout' },
} satisfies ReadResult;
const REGISTRATION = JSON.stringify(createRegistration('i-1', 1));

interface Cut {
  readonly startMs: number;
  readonly endMs: number;
}

/** Follows the store with one node, whose calls during a cut are dropped; the row is removed once. */
const startNode = (time: SimulatedTime, cut: Cut, removeAtMs: number, peer?: TableMirror) => {
  const isCutOff = () => time.nowMs() >= cut.startMs && time.nowMs() < cut.endMs;
  const log = {
    logStateChange: () => undefined,
    logRequest: () => undefined,
    logProblem: () => undefined,
    flush: () => undefined,
  };
  const { rows } = createDependencies(new Map());
  const state = ClusterState.create(rows, time, StoreClock.create(time), SETTINGS, log);
  const mirror = TableMirror.create('endpoints', {
    interruptionMs: computeMinOutageMs(HEARTBEAT_MS),
  });
  mirror.addListener((row) => state.applyEndpointRow(row));
  const check = OutageCheck.create({
    listPeers: () => ['peer'],
    askPeer: async () => {
      await time.wait(ROUND_TRIP_MS);
      return isCutOff() ? undefined : peer?.getUninterruptedMs(time.nowMs());
    },
    clock: time,
    random: () => 0.5,
    onRefuted: () => state.refuteOutage(),
    onError: (error) => t.error(error),
    wait: time.wait,
  });
  const read = async (isPartial: boolean, answerAtMs: number, abortAtMs: number) => {
    const startMs = time.nowMs();
    const isDropped = answerAtMs >= cut.startMs && startMs < cut.endMs;
    await time.wait((isDropped ? abortAtMs : answerAtMs) - startMs);
    if (isDropped) return UNAVAILABLE;
    const isRemoved = time.nowMs() >= removeAtMs;
    const beats = Math.floor(Math.min(time.nowMs(), removeAtMs) / HEARTBEAT_MS);
    const version = 1 + beats + (isRemoved ? 1 : 0);
    const row = { key: 'i-1', version, value: isRemoved ? undefined : REGISTRATION };
    const batch = { rows: [row], version, isPartial, ageMs: 0 };
    return { type: 'rows', batch } satisfies ReadResult;
  };
  const timing = createEndpointTableTiming(SETTINGS.bounds);
  const follower = MirrorFollower.create({
    mirror,
    source: {
      readAll: (_table, timeoutMs) =>
        read(false, time.nowMs() + ROUND_TRIP_MS, time.nowMs() + timeoutMs),
      readChanges: (_table, _version, waitMs, timeoutMs) => {
        const startMs = time.nowMs();
        const changeAtMs = (Math.floor(startMs / HEARTBEAT_MS) + 1) * HEARTBEAT_MS;
        const answerAtMs = Math.min(startMs + waitMs, changeAtMs) + ROUND_TRIP_MS;
        return read(true, answerAtMs, startMs + waitMs + timeoutMs);
      },
    },
    peers: { readChanges: async () => UNAVAILABLE },
    clock: time,
    options: {
      answerTimeoutMs: timing.answerTimeoutMs,
      retryDelayMs: timing.retryDelayMs,
      peerFallback: { type: 'after_failure', minAgeMs: 0 },
      getLongPollMs: () => timing.longPollMs,
      getPollIntervalMs: () => timing.pollIntervalMs,
      isStoreReadDue: () => true,
    },
    onEvent: (event) => {
      if (event.type === 'store_lost') state.recordStoreUnreachable();
      if (event.type === 'store_regained' && state.recordStoreRecovered(event.copyAgeMs))
        check.start(time.nowMs() - event.copyAgeMs);
    },
    wait: time.wait,
  });
  const running = follower.run();
  return { state, mirror, follower, running };
};

/** Returns whether a node that was cut off still uses the endpoint at a point in time. */
const isUsedAt = async (cut: Cut, peerCut: Cut, removeAtMs: number, readAtMs: number) => {
  const time = SimulatedTime.create();
  const peer = startNode(time, peerCut, removeAtMs);
  const node = startNode(time, cut, removeAtMs, peer.mirror);
  for (let nowMs = 0; nowMs < readAtMs; nowMs += HOUSEKEEPING_INTERVAL_MS) {
    await time.runUntil(nowMs);
    node.state.removeExpiredEndpoints();
  }
  await time.runUntil(readAtMs);
  const isUsed = node.state.endpoints.listReady('app').length > 0;
  for (const { follower } of [peer, node]) follower.stop();
  await time.runUntil(readAtMs + 20_000);
  await Promise.all([peer.running, node.running]);
  return isUsed;
};

const NONE: Cut = { startMs: Infinity, endMs: Infinity };

// Guards against a node that takes its own absence for an outage of the store, and keeps using an endpoint that
// left without announcing it while the node was cut off or soon after.
t.test('a removed endpoint is not used beyond the limit after a node was cut off', async (t2) => {
  const { contactLimitMs, endpointLeaveLimitMs } = SETTINGS.bounds;
  const late: string[] = [];
  for (let lengthMs = 2_400; lengthMs <= 4_400; lengthMs += 250) {
    const cut = { startMs: 10_000, endMs: 10_000 + lengthMs };
    for (let removeAtMs = 10_100; removeAtMs < cut.endMs + 2_500; removeAtMs += 300) {
      const limitAtMs = Math.max(removeAtMs + endpointLeaveLimitMs, cut.endMs + contactLimitMs);
      if (await isUsedAt(cut, NONE, removeAtMs, limitAtMs + HOUSEKEEPING_INTERVAL_MS))
        late.push(`cut for ${lengthMs} ms, removed at ${removeAtMs} ms`);
    }
  }
  t2.strictSame(late, []);
});

// Guards against live endpoints that are given up as their entries lapsed in an outage of the store.
t.test('a removed endpoint is kept for a while after an outage that all nodes saw', async (t2) => {
  const outage = { startMs: 10_000, endMs: 14_000 };
  t2.ok(await isUsedAt(outage, outage, 13_900, outage.endMs + EXPIRY_GRACE_MS / 2));
  // A peer that was cut off before doesn't know either.
  t2.ok(
    await isUsedAt(
      outage,
      { ...outage, endMs: 13_000 },
      13_900,
      outage.endMs + EXPIRY_GRACE_MS / 2,
    ),
  );
});

// Guards against evidence that gets lost between two nodes, one of which may be of an earlier release.
t.test('a peer is asked for how long it has followed the registrations', async (t2) => {
  const ask = createContinuitySource(createReceiveLimits());
  const answers: (number | undefined)[] = [];
  for (const uninterruptedMs of [4_000.5, undefined]) {
    const server = fastify();
    if (uninterruptedMs !== undefined) registerContinuityRoute(server, () => uninterruptedMs);
    answers.push(await ask(new URL(await server.listen({ host: '127.0.0.1', port: 0 })).host));
    await server.close();
  }
  t2.strictSame(answers, [4_000, undefined]);
});
