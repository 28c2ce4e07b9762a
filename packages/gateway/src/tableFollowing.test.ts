import t from 'tap';
import { SimulatedTime } from '@lovagearch/common';
import { type MirroredRow, MirrorFollower, type ReadResult, TableMirror } from '@lovagearch/mirror';
import { OPERATOR_TABLE_TIMING, type TableTiming } from './tableTiming.js';

/** Time within which a change has to be in force on the reference deployments, in milliseconds. */
const CHANGE_LIMIT_MS = 2_500;
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

/** Follows the table through an outage and returns the value of the row at a point in time. */
const simulateFollowing = async (
  timing: TableTiming,
  outage: Outage,
  changeAtMs: number,
  readAtMs: number,
): Promise<string | undefined> => {
  const time = SimulatedTime.create();
  const mirror = TableMirror.create('op');
  const follower = MirrorFollower.create({
    mirror,
    source: SimulatedStore.create(time, outage, changeAtMs),
    // All nodes poll in step since the last change, so a peer's copy is no newer.
    peers: { readChanges: async () => UNAVAILABLE },
    clock: time,
    options: {
      ...timing,
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

// Guards against a call that is dropped at the end of an outage and holds back the next one for seconds.
t.test(
  'a change is in force in time after an outage of the store ends at any moment',
  async (t2) => {
    const late: number[] = [];
    for (let endMs = 10_000; endMs < 14_000; endMs += 50) {
      const outage = { startMs: 8_000, endMs };
      const value = await simulateFollowing(
        OPERATOR_TABLE_TIMING,
        outage,
        endMs,
        endMs + CHANGE_LIMIT_MS,
      );
      if (value !== 'v2') late.push(endMs);
    }
    t2.strictSame(late, []);
  },
);

// Guards against a connection that goes silent without a reset, so that the call on it hangs.
t.test('a change is in force in time although a single call is never answered', async (t2) => {
  const late: number[] = [];
  for (let startMs = 10_000; startMs < 14_000; startMs += 50) {
    const outage = { startMs, endMs: startMs + 1 };
    const value = await simulateFollowing(
      OPERATOR_TABLE_TIMING,
      outage,
      startMs + 2,
      startMs + 2 + CHANGE_LIMIT_MS,
    );
    if (value !== 'v2') late.push(startMs);
  }
  t2.strictSame(late, []);
});
