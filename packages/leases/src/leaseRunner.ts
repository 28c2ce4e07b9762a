import type { Clock } from '@lovagearch/common';
import { Lease } from './lease.js';
import type { LeaseTable, LeaseTimes, LeaseWrite } from './types.js';

/** Steps of one run: a read, a write, a read after a lost race, and a write. */
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
 * Carries out the decisions of one lease. The caller runs it at least once a second.
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

  /** Returns the fencing token, or undefined unless the lease is held and has time left. */
  getFencingToken(): number | undefined {
    return this.lease.getFencingToken(this.options.clock.nowMs());
  }

  /** Returns the time that the lease certainly still holds, in milliseconds. */
  getRemainingMs(): number {
    return this.lease.getRemainingMs(this.options.clock.nowMs());
  }

  /** Whether the lease certainly holds for so many more milliseconds. */
  isHeldFor(durationMs: number): boolean {
    return this.lease.isHeldFor(durationMs, this.options.clock.nowMs());
  }

  /** Records a fencing token that a receiver reported. */
  updateHighestFencingToken(fencing: number): void {
    this.lease.updateHighestFencingToken(fencing);
  }

  /** Reads and writes what is due. Calls that overlap share one run; it never rejects. */
  runDueSteps(): Promise<void> {
    this.running ??= this.runSteps().finally(() => {
      this.running = undefined;
    });
    return this.running;
  }

  /** Gives the lease up, so that another process takes it without waiting, and stops. */
  async release(): Promise<void> {
    this.isReleased = true;
    await this.running;
    const write = this.lease.createReleaseWrite();
    if (write === undefined) return;
    const { table, key } = this.options;
    // If the write fails, the lease runs out by itself.
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
