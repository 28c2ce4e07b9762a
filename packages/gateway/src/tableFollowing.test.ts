import t from 'tap';
import { SimulatedTime } from '@lovagearch/common';
import {
  type MirroredRow,
  MirrorFollower,
  type PeerFallback,
  type ReadResult,
  TableMirror,
} from '@lovagearch/mirror';
import { PEER_TIMEOUT_MS, TABLE_RELAY_INTERVAL_MS } from './constants.js';
import {
  computeMaxRelayedAgeMs,
  computeOverdueAgeMs,
  createEndpointTableTiming,
  createOperatorTableTiming,
  createSharedTableTiming,
  type TableTiming,
} from './tableTiming.js';

/** Limits of the reference deployments, of the same ones once grown, and of one with short limits. */
const DEPLOYMENTS = [
  { configurationLimitMs: 2_500, contactLimitMs: 3_000, endpointLeaveLimitMs: 2_500 },
  { configurationLimitMs: 4_000, contactLimitMs: 4_000, endpointLeaveLimitMs: 4_000 },
  { configurationLimitMs: 3_000, contactLimitMs: 1_500, endpointLeaveLimitMs: 3_500 },
];
/** Time between a node and the store, both ways, in milliseconds. */
const ROUND_TRIP_MS = 20;
const KEY = 'config';
const AFTER_FAILURE: PeerFallback = { type: 'after_failure', minAgeMs: 0 };
const UNAVAILABLE: ReadResult = {
  type: 'failure',
  failure: { type: 'unavailable', reason: 'timeout' },
};

interface Outage {
  readonly startMs: number;
  readonly endMs: number;
}

/**
 * A store that drops every call that it receives or holds during an outage. Its only row changes once, from
 * version 1 to version 2.
 */
class SimulatedStore {
  private constructor(
    private readonly time: SimulatedTime,
    private readonly outage: Outage,
    private readonly changeAtMs: number,
  ) {}

  static create(time: SimulatedTime, outage: Outage, changeAtMs: number): SimulatedStore {
    return new SimulatedStore(time, outage, changeAtMs);
  }

  readonly readAll = (_table: string, timeoutMs: number): Promise<ReadResult> =>
    this.answer(this.time.nowMs() + ROUND_TRIP_MS, this.time.nowMs() + timeoutMs, false);

  readonly readChanges = (
    _table: string,
    afterVersion: number,
    waitMs: number,
    timeoutMs: number,
  ): Promise<ReadResult> => {
    const startMs = this.time.nowMs();
    const changedAtMs =
      afterVersion < 2 ? Math.max(startMs, this.changeAtMs) : Number.POSITIVE_INFINITY;
    const answerAtMs = Math.min(startMs + waitMs, changedAtMs) + ROUND_TRIP_MS;
    return this.answer(answerAtMs, startMs + waitMs + timeoutMs, true);
  };

  private async answer(
    answerAtMs: number,
    abortAtMs: number,
    isPartial: boolean,
  ): Promise<ReadResult> {
    const startMs = this.time.nowMs();
    const isDropped = answerAtMs >= this.outage.startMs && startMs < this.outage.endMs;
    await this.time.wait((isDropped ? abortAtMs : answerAtMs) - startMs);
    if (isDropped) return UNAVAILABLE;
    const version = this.time.nowMs() >= this.changeAtMs ? 2 : 1;
    const row: MirroredRow = { key: KEY, version, value: `v${version}` };
    return { type: 'rows', batch: { rows: [row], version, isPartial, ageMs: 0 } };
  }
}

interface Simulation {
  readonly timing: TableTiming;
  readonly peerFallback: PeerFallback;
  readonly outage: Outage;
  readonly changeAtMs: number;
  /** Time at which the value is read. */
  readonly readAtMs: number;
  /** Whether peers have the change as soon as it is made; otherwise they have no newer copy. */
  readonly arePeersCurrent: boolean;
}

/** Follows the table through an outage and returns the value of the row at a point in time. */
const simulateFollowing = async ({
  timing,
  peerFallback,
  outage,
  changeAtMs,
  readAtMs,
  arePeersCurrent,
}: Simulation): Promise<string | undefined> => {
  const time = SimulatedTime.create();
  const mirror = TableMirror.create('op');
  const peerStore = SimulatedStore.create(time, { startMs: -1, endMs: -1 }, changeAtMs);
  const follower = MirrorFollower.create({
    mirror,
    source: SimulatedStore.create(time, outage, changeAtMs),
    peers: {
      readChanges: async (table, afterVersion) => {
        if (arePeersCurrent) return peerStore.readChanges(table, afterVersion, 0, 0);
        // A peer that is down is given up after the timeout.
        await time.wait(PEER_TIMEOUT_MS);
        return UNAVAILABLE;
      },
    },
    clock: time,
    options: {
      answerTimeoutMs: timing.answerTimeoutMs,
      retryDelayMs: timing.retryDelayMs,
      peerFallback,
      getLongPollMs: () => timing.longPollMs,
      getPollIntervalMs: () => timing.pollIntervalMs,
      isStoreReadDue: () => true,
    },
    onEvent: () => undefined,
    wait: time.wait,
  });
  const running = follower.run();
  await time.runUntil(readAtMs);
  const value = mirror.getRow(KEY)?.value;
  follower.stop();
  await time.runUntil(readAtMs + 20_000);
  await running;
  return value;
};

// Guards against readers that fail for good and leave the nodes of their zone with an old configuration.
t.test('a node whose relay fails reads the store within the limit of a change', async (t2) => {
  for (const limits of DEPLOYMENTS) {
    const time = SimulatedTime.create();
    const mirror = TableMirror.create('op');
    const maxRelayedAgeMs = computeMaxRelayedAgeMs(limits);
    // The last copy that was relayed is complete up to the moment of the change.
    const changeAtMs = 1;
    mirror.applyBatch({ rows: [], version: 1, isPartial: false, ageMs: 0 }, 0);
    const follower = MirrorFollower.create({
      mirror,
      source: SimulatedStore.create(time, { startMs: -1, endMs: -1 }, changeAtMs),
      peers: { readChanges: async () => UNAVAILABLE },
      clock: time,
      options: {
        answerTimeoutMs: 500,
        retryDelayMs: 250,
        peerFallback: AFTER_FAILURE,
        getLongPollMs: () => 500,
        getPollIntervalMs: () => TABLE_RELAY_INTERVAL_MS,
        isStoreReadDue: (copyAgeMs) => copyAgeMs >= maxRelayedAgeMs,
      },
      onEvent: () => undefined,
      wait: time.wait,
    });
    const running = follower.run();
    const limitMs = Math.min(...Object.values(limits));
    await time.runUntil(changeAtMs + limitMs);
    t2.equal(mirror.getRow(KEY)?.value, 'v2', `limit ${limitMs} ms`);
    follower.stop();
    await time.runUntil(20_000);
    await running;
  }
});

interface TableCase {
  readonly table: string;
  readonly timing: TableTiming;
  readonly limitMs: number;
}

const createCases = (limits: (typeof DEPLOYMENTS)[number]): TableCase[] => {
  const { configurationLimitMs, contactLimitMs, endpointLeaveLimitMs } = limits;
  return [
    {
      table: "the operator's table",
      timing: createOperatorTableTiming(limits),
      limitMs: Math.min(configurationLimitMs, contactLimitMs),
    },
    {
      table: "the endpoints' table",
      timing: createEndpointTableTiming(limits),
      limitMs: Math.min(endpointLeaveLimitMs, contactLimitMs),
    },
    {
      table: 'the shared table',
      timing: createSharedTableTiming(limits),
      limitMs: contactLimitMs,
    },
  ];
};

const createOverdueFallback = (timing: TableTiming): PeerFallback => ({
  type: 'when_overdue',
  getOverdueAgeMs: () => computeOverdueAgeMs(timing),
});

for (const { table, timing, limitMs } of DEPLOYMENTS.flatMap(createCases)) {
  for (const peerFallback of [AFTER_FAILURE, createOverdueFallback(timing)]) {
    const name = `${table}, limit ${limitMs} ms, peers ${peerFallback.type}`;

    // Guards against a call that is dropped at the end of an outage and holds back the next one for seconds.
    t.test(`${name}: a change is in force in time after an outage ends`, async (t2) => {
      const late: number[] = [];
      for (let endMs = 10_000; endMs < 14_000; endMs += 50) {
        const value = await simulateFollowing({
          timing,
          peerFallback,
          outage: { startMs: 8_000, endMs },
          changeAtMs: endMs,
          readAtMs: endMs + limitMs,
          // All nodes poll in step since the last change, so a peer's copy is no newer.
          arePeersCurrent: false,
        });
        if (value !== 'v2') late.push(endMs);
      }
      t2.strictSame(late, []);
    });

    // Guards against a connection that goes silent without a reset, so that the call on it hangs.
    t.test(`${name}: a change is in force in time although a call is dropped`, async (t2) => {
      const late: number[] = [];
      for (let startMs = 10_000; startMs < 14_000; startMs += 50) {
        const value = await simulateFollowing({
          timing,
          peerFallback,
          outage: { startMs, endMs: startMs + 1 },
          changeAtMs: startMs + 2,
          readAtMs: startMs + 2 + limitMs,
          arePeersCurrent: false,
        });
        if (value !== 'v2') late.push(startMs);
      }
      t2.strictSame(late, []);
    });
  }
}

for (const limits of DEPLOYMENTS) {
  const timing = createOperatorTableTiming(limits);
  const limitMs = Math.min(limits.configurationLimitMs, limits.contactLimitMs);

  // Guards against a node that the store silently turns away and that queries peers only when a call fails.
  t.test(`limit ${limitMs} ms: a peer supplies a configuration while calls hang`, async (t2) => {
    const late: number[] = [];
    for (let changeAtMs = 10_000; changeAtMs < 14_000; changeAtMs += 50) {
      const value = await simulateFollowing({
        timing,
        peerFallback: createOverdueFallback(timing),
        outage: { startMs: 9_000, endMs: Number.POSITIVE_INFINITY },
        changeAtMs,
        readAtMs: changeAtMs + limitMs,
        arePeersCurrent: true,
      });
      if (value !== 'v2') late.push(changeAtMs);
    }
    t2.strictSame(late, []);
  });
}
