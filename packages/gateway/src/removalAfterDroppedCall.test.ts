import t from 'tap';
import { SimulatedTime } from '@lovagearch/common';
import { MirrorFollower, type ReadResult, StoreClock, TableMirror } from '@lovagearch/mirror';
import { ClusterState } from './clusterState.js';
import { HOUSEKEEPING_INTERVAL_MS } from './constants.js';
import { createEndpointTableTiming } from './tableTiming.js';
import { createDependencies, SETTINGS } from './testGateway.js';

const ROUND_TRIP_MS = 20;
const ENDPOINT_ROW = {
  key: 'i-1',
  version: 1,
  value: JSON.stringify({
    id: 'i-1',
    startedUnixMs: 1,
    softwareVersion: 'v1',
    service: 'app',
    address: 'x:1',
    zone: 'z1',
    slots: 4,
    state: 'ready',
    warmupRemainingMs: 0,
    heartbeat: 1,
  }),
};

/** A store that is available all the time; one call of this node is dropped. The row is removed once. */
const createSource = (time: SimulatedTime, dropAtMs: number, removeAtMs: number) => {
  const read = async (isPartial: boolean, answerAtMs: number, abortAtMs: number) => {
    const startMs = time.nowMs();
    const isDropped = startMs <= dropAtMs && dropAtMs < answerAtMs;
    await time.wait((isDropped ? abortAtMs : answerAtMs) - startMs);
    if (isDropped)
      return {
        type: 'failure',
        failure: { type: 'unavailable', reason: 'timeout' },
      } satisfies ReadResult;
    const isRemoved = time.nowMs() >= removeAtMs;
    const version = isRemoved ? 2 : 1;
    const rows = isRemoved ? [{ key: 'i-1', version, value: undefined }] : [ENDPOINT_ROW];
    return { type: 'rows', batch: { rows, version, isPartial, ageMs: 0 } } satisfies ReadResult;
  };
  return {
    readAll: (_table: string, timeoutMs: number): Promise<ReadResult> =>
      read(false, time.nowMs() + ROUND_TRIP_MS, time.nowMs() + timeoutMs),
    readChanges: (
      _table: string,
      afterVersion: number,
      waitMs: number,
      timeoutMs: number,
    ): Promise<ReadResult> => {
      const startMs = time.nowMs();
      const changeAtMs = afterVersion < 2 ? Math.max(startMs, removeAtMs) : Infinity;
      const answerAtMs = Math.min(startMs + waitMs, changeAtMs) + ROUND_TRIP_MS;
      return read(true, answerAtMs, startMs + waitMs + timeoutMs);
    },
  };
};

/** Returns whether the node still uses the endpoint at a point in time. */
const isUsedAt = async (dropAtMs: number, removeAtMs: number, readAtMs: number) => {
  const time = SimulatedTime.create();
  const log = {
    logStateChange: () => undefined,
    logRequest: () => undefined,
    logProblem: () => undefined,
    flush: () => undefined,
  };
  const { rows } = createDependencies(new Map());
  const state = ClusterState.create(rows, time, StoreClock.create(time), SETTINGS, log);
  const mirror = TableMirror.create('endpoints');
  mirror.addListener((row) => state.applyEndpointRow(row));
  const timing = createEndpointTableTiming(SETTINGS.bounds);
  const follower = MirrorFollower.create({
    mirror,
    source: createSource(time, dropAtMs, removeAtMs),
    peers: {
      readChanges: async () => ({
        type: 'failure',
        failure: { type: 'unavailable', reason: 'no peer' },
      }),
    },
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
      if (event.type === 'store_regained') state.recordStoreRecovered(event.copyAgeMs);
    },
    wait: time.wait,
  });
  const running = follower.run();
  for (let nowMs = 0; nowMs < readAtMs; nowMs += HOUSEKEEPING_INTERVAL_MS) {
    await time.runUntil(nowMs);
    state.removeExpiredEndpoints();
  }
  await time.runUntil(readAtMs);
  const isUsed = state.endpoints.listReady('app').length > 0;
  follower.stop();
  await time.runUntil(readAtMs + 20_000);
  await running;
  return isUsed;
};

// Guards against a node that takes its own dropped call for an outage of the store, and keeps using an
// endpoint that left without announcing it: it waits for a renewal that only an outage would explain.
t.test('a removed endpoint is not used beyond the limit after a dropped call', async (t2) => {
  const { contactLimitMs, endpointLeaveLimitMs } = SETTINGS.bounds;
  const late: number[] = [];
  for (let dropAtMs = 10_000; dropAtMs < 12_000; dropAtMs += 100) {
    const removeAtMs = dropAtMs + 50;
    // Calls may be late only until `contactLimitMs` after the connection has failed.
    const limitAtMs = Math.max(removeAtMs + endpointLeaveLimitMs, dropAtMs + contactLimitMs);
    if (await isUsedAt(dropAtMs, removeAtMs, limitAtMs + HOUSEKEEPING_INTERVAL_MS))
      late.push(dropAtMs);
  }
  t2.strictSame(late, []);
});
