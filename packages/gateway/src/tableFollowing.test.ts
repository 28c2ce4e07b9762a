import t from 'tap';
import { SimulatedTime } from '@lovagearch/common';
import { type MirroredRow, MirrorFollower, type ReadResult, TableMirror } from '@lovagearch/mirror';
import { computeOverdueAgeMs, createOperatorTableTiming, type TableTiming } from './tableTiming.js';

/** Limits of the reference deployments, of the same ones once grown, and of one with short limits. */
const DEPLOYMENTS = [
  { configurationLimitMs: 2_500, contactLimitMs: 3_000 },
  { configurationLimitMs: 4_000, contactLimitMs: 4_000 },
  { configurationLimitMs: 3_000, contactLimitMs: 1_500 },
];
/** Time between a node and the store, both ways, in milliseconds. */
const ROUND_TRIP_MS = 20;
const KEY = 'config';
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
      readChanges: async (table, afterVersion) =>
        arePeersCurrent ? peerStore.readChanges(table, afterVersion, 0, 0) : UNAVAILABLE,
    },
    clock: time,
    options: {
      answerTimeoutMs: timing.answerTimeoutMs,
      retryDelayMs: timing.retryDelayMs,
      peerFallback: { type: 'when_overdue', getOverdueAgeMs: () => computeOverdueAgeMs(timing) },
      getLongPollMs: () => timing.longPollMs,
      getPollIntervalMs: () => timing.pollIntervalMs,
      getMaxRelayedAgeMs: () => 0,
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

for (const limits of DEPLOYMENTS) {
  const timing = createOperatorTableTiming(limits);
  const limitMs = Math.min(limits.configurationLimitMs, limits.contactLimitMs);

  // Guards against a call that is dropped at the end of an outage and holds back the next one for seconds.
  t.test(
    `a change is in force ${limitMs} ms after an outage of the store ends at any moment`,
    async (t2) => {
      const late: number[] = [];
      for (let endMs = 10_000; endMs < 14_000; endMs += 50) {
        const value = await simulateFollowing({
          timing,
          outage: { startMs: 8_000, endMs },
          changeAtMs: endMs,
          readAtMs: endMs + limitMs,
          // All nodes poll in step since the last change, so a peer's copy is no newer.
          arePeersCurrent: false,
        });
        if (value !== 'v2') late.push(endMs);
      }
      t2.strictSame(late, []);
    },
  );

  // Guards against a connection that goes silent without a reset, so that the call on it hangs.
  t.test(
    `a change is in force ${limitMs} ms after it although a single call is never answered`,
    async (t2) => {
      const late: number[] = [];
      for (let startMs = 10_000; startMs < 14_000; startMs += 50) {
        const value = await simulateFollowing({
          timing,
          outage: { startMs, endMs: startMs + 1 },
          changeAtMs: startMs + 2,
          readAtMs: startMs + 2 + limitMs,
          arePeersCurrent: false,
        });
        if (value !== 'v2') late.push(startMs);
      }
      t2.strictSame(late, []);
    },
  );

  // Guards against a node that the store silently turns away and that queries peers only when a call fails.
  t.test(
    `a change is in force ${limitMs} ms after it at a node that the store never answers`,
    async (t2) => {
      const late: number[] = [];
      for (let changeAtMs = 10_000; changeAtMs < 14_000; changeAtMs += 50) {
        const value = await simulateFollowing({
          timing,
          outage: { startMs: 9_000, endMs: Number.POSITIVE_INFINITY },
          changeAtMs,
          readAtMs: changeAtMs + limitMs,
          arePeersCurrent: true,
        });
        if (value !== 'v2') late.push(changeAtMs);
      }
      t2.strictSame(late, []);
    },
  );
}
