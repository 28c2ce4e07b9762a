import type { Clock } from '@lovagearch/common';
import { Lease } from './lease.js';
import type { LeaseTable, LeaseTimes, LeaseWrite } from './types.js';

/** Maximum steps per run: a read, a write, another read after a conflict, and another write. */
const MAX_STEPS_PER_RUN = 4;

export interface LeaseRunnerOptions {
  readonly table: LeaseTable;
  readonly clock: Clock;
  readonly key: string;
  readonly holder: string;
  readonly times: LeaseTimes;
  readonly createAttemptId: () => string;
}

/**
 * Executes the steps of one lease. The caller has to call `runDueSteps` at least once per second.
 *
 * @example
 * const runner = LeaseRunner.create({ table, clock, key, holder, times, createAttemptId });
 * await runner.runDueSteps();
 * if (runner.holdsFor(3_000)) sendOrder(runner.getFencing());
 */
export class LeaseRunner {
  private readonly lease: Lease;

  private running: Promise<void> | undefined;

  private isReleased = false;

  private constructor(private readonly options: LeaseRunnerOptions) {
    this.lease = Lease.create(options.holder, options.times, options.createAttemptId);
  }

  static create(options: LeaseRunnerOptions): LeaseRunner {
    return new LeaseRunner(options);
  }

  /** Returns the fencing token, or undefined if the lease is not held or has expired. */
  getFencingToken(): number | undefined {
    return this.lease.getFencingToken(this.options.clock.nowMs());
  }

  /** Returns the guaranteed remaining time of the lease, in milliseconds. */
  getRemainingMs(): number {
    return this.lease.getRemainingMs(this.options.clock.nowMs());
  }

  /** Returns whether the lease is guaranteed to be held for longer than the given duration. */
  isHeldFor(durationMs: number): boolean {
    return this.lease.isHeldFor(durationMs, this.options.clock.nowMs());
  }

  /** Records a fencing token reported by a receiver. */
  updateHighestFencingToken(fencing: number): void {
    this.lease.updateHighestFencingToken(fencing);
  }

  /** Executes the steps that are due. Concurrent calls share one run; the promise never rejects. */
  runDueSteps(): Promise<void> {
    this.running ??= this.runSteps().finally(() => {
      this.running = undefined;
    });
    return this.running;
  }

  /** Stops and releases the lease, so that another process need not wait for its expiry. */
  async release(): Promise<void> {
    this.isReleased = true;
    await this.running;
    const write = this.lease.createReleaseWrite();
    if (write === undefined) return;
    const { table, key } = this.options;
    // If the write fails, the lease expires on its own.
    await table.write(key, write.value, write.ifVersion, write.attemptId);
  }

  private async runSteps(): Promise<void> {
    for (let count = 0; count < MAX_STEPS_PER_RUN && !this.isReleased; count++) {
      const step = this.lease.getNextStep(this.options.clock.nowMs());
      if (step.type === 'wait') return;
      if (step.type === 'read') await this.runRead();
      else await this.runWrite(step.write);
    }
  }

  private async runRead(): Promise<void> {
    const { table, key, clock } = this.options;
    const row = await table.read(key);
    if (row.isOk()) this.lease.recordRead(row.value, clock.nowMs());
    else this.lease.recordFailure(clock.nowMs());
  }

  private async runWrite(write: LeaseWrite): Promise<void> {
    const { table, key, clock } = this.options;
    const written = await table.write(key, write.value, write.ifVersion, write.attemptId);
    const nowMs = clock.nowMs();
    if (written.isOk()) this.lease.recordWritten(write, written.value.version, nowMs);
    else if (written.error.type === 'conflict') {
      this.lease.recordConflict(written.error.current, nowMs);
    } else this.lease.recordFailure(nowMs);
  }
}
