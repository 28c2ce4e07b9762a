import { createRandom, ManualClock, type Random } from '@lovagearch/common';
import { errAsync, okAsync } from 'neverthrow';
import t from 'tap';
import { Lease, type LeaseRow, LeaseRunner, type LeaseTimes, type LeaseWrite } from './index.js';

const SEED = Number(process.env.SEED ?? Date.now() % 1e9);
const SIMULATED_HISTORIES = 3_000;
const TICKS = 1_500;
const TICK_MS = 100;
const MAX_DELAY_TICKS = 40;

const createLeaseTimes = (takeoverDelayMs: number): LeaseTimes => ({
  durationMs: 10_000,
  renewalIntervalMs: 3_000,
  watchIntervalMs: 5_000,
  takeoverDelayMs,
});

interface Operation {
  readonly write?: LeaseWrite;
  readonly applyTick: number;
  readonly responseTick: number;
  readonly isLost: boolean;
}

const createFakeTable = () => {
  const table = {
    row: null as LeaseRow | null,
    apply: (write: LeaseWrite): boolean => {
      if (write.ifVersion !== (table.row?.version ?? 0)) return false;
      const { value, attemptId } = write;
      table.row = { value, version: write.ifVersion + 1, attemptId };
      return true;
    },
  };
  return table;
};
type FakeTable = ReturnType<typeof createFakeTable>;

/** A process with one table request at a time, random pauses and a drifting clock. */
class SimulatedProcess {
  readonly lease: Lease;

  private operation: Operation | undefined;

  private lateWrite: Operation | undefined;

  private result: { readonly row: LeaseRow | null; readonly isWritten: boolean } | undefined;

  private pausedUntilTick = 0;

  private attempts = 0;

  private readonly clockRate: number;

  private readonly clockOffsetMs: number;

  constructor(
    name: string,
    private readonly table: FakeTable,
    private readonly random: Random,
  ) {
    this.clockRate = 1 + 0.018 * (random() - 0.5);
    this.clockOffsetMs = random() * 1e6;
    this.lease = Lease.create(
      name,
      createLeaseTimes(random() * 2_000),
      () => `${name}-${this.attempts++}`,
    );
  }

  getNowMs(tick: number): number {
    return this.clockOffsetMs + tick * TICK_MS * this.clockRate;
  }

  runTick(tick: number): void {
    this.applyDueOperations(tick);
    if (tick < this.pausedUntilTick) return;
    if (this.random() < 0.004) this.pausedUntilTick = tick + Math.floor(this.random() * 250);
    else if (this.operation === undefined) this.beginStep(tick);
    else if (tick >= this.operation.responseTick) this.finishStep(this.operation, tick);
  }

  private applyDueOperations(tick: number): void {
    const { operation, lateWrite, table } = this;
    if (lateWrite !== undefined && tick >= lateWrite.applyTick) {
      table.apply(lateWrite.write!);
      this.lateWrite = undefined;
    }
    if (operation === undefined || operation === lateWrite || this.result !== undefined) return;
    if (tick < operation.applyTick) return;
    const isWritten = operation.write !== undefined && table.apply(operation.write);
    this.result = { row: table.row, isWritten };
  }

  private beginStep(tick: number): void {
    const step = this.lease.getNextStep(this.getNowMs(tick));
    if (step.type === 'wait') return;
    const isLost = this.random() < 0.1;
    const delay = () => Math.floor(this.random() * this.random() * MAX_DELAY_TICKS);
    const applyTick = tick + delay();
    this.operation = {
      ...(step.type === 'write' ? { write: step.write } : {}),
      applyTick,
      responseTick: applyTick + delay(),
      isLost,
    };
    // A write whose response is lost may reach the table long after the process stopped waiting for it.
    if (isLost && step.type === 'write' && this.lateWrite === undefined && this.random() < 0.5) {
      this.lateWrite = { ...this.operation, applyTick: tick + Math.floor(this.random() * 300) };
      this.operation = { ...this.operation, write: undefined as never };
    }
  }

  private finishStep(operation: Operation, tick: number): void {
    const nowMs = this.getNowMs(tick);
    const { result } = this;
    this.operation = undefined;
    this.result = undefined;
    if (operation.isLost || result === undefined) this.lease.recordFailure(nowMs);
    else if (operation.write === undefined) this.lease.recordRead(result.row, nowMs);
    else if (result.isWritten)
      this.lease.recordWritten(operation.write, result.row!.version, nowMs);
    else this.lease.recordConflict(result.row, nowMs);
  }
}

t.test(
  'at most one process holds a lease at a time, and no fencing token has two holders',
  async (t2) => {
    let heldTicks = 0;
    for (let seed = SEED; seed < SEED + SIMULATED_HISTORIES; seed++) {
      const random = createRandom(seed);
      const table = createFakeTable();
      const processes = ['a', 'b', 'c'].map((name) => new SimulatedProcess(name, table, random));
      const holderByToken = new Map<number, string>();
      let highestToken = 0;
      for (let tick = 0; tick < TICKS; tick++) {
        for (const process of processes) process.runTick(tick);
        const holders = processes.filter(({ lease }, index) =>
          lease.isHeldFor(0, processes[index]!.getNowMs(tick)),
        );
        if (holders.length > 1) t2.fail(`lease has two holders in tick ${tick} (SEED=${seed})`);
        for (const process of holders) {
          const token = process.lease.getFencingToken(process.getNowMs(tick))!;
          const { holder } = process.lease;
          if (token < highestToken)
            t2.fail(`fencing token decreased in tick ${tick} (SEED=${seed})`);
          if ((holderByToken.get(token) ?? holder) !== holder)
            t2.fail(`fencing token has two holders (SEED=${seed})`);
          holderByToken.set(token, holder);
          highestToken = token;
          heldTicks += 1;
        }
      }
    }
    t2.ok(heldTicks > (SIMULATED_HISTORIES * TICKS) / 4, `held in ${heldTicks} ticks`);
  },
);

t.test(
  'a released lease is taken over without waiting for its expiry, and a held one is not',
  async (t2) => {
    const clock = ManualClock.create();
    const table = createFakeTable();
    let attempts = 0;
    const create = (holder: string) =>
      LeaseRunner.create({
        clock,
        holder,
        key: 'lease/s/r',
        times: createLeaseTimes(0),
        createAttemptId: () => `attempt-${attempts++}`,
        table: {
          read: () => okAsync(table.row),
          write: (_key, value, ifVersion, attemptId) =>
            table.apply({ value, ifVersion, attemptId } as LeaseWrite)
              ? okAsync({ version: table.row!.version })
              : errAsync({ type: 'conflict' as const, current: table.row }),
        },
      });
    const [one, two] = [create('one'), create('two')];
    await one.runDueSteps();
    t2.equal(one.getFencingToken(), 1);
    for (let elapsedMs = 0; elapsedMs < 9_000; elapsedMs += 1_000) {
      await two.runDueSteps();
      t2.equal(two.getFencingToken(), undefined);
      clock.addMs(1_000);
    }
    await one.runDueSteps();
    await one.release();
    clock.addMs(5_000);
    await two.runDueSteps();
    t2.equal(two.getFencingToken(), 2);
    t2.equal(one.isHeldFor(0), false);
  },
);
