import { BoundedMap } from '@lovagearch/common';
import { CLOCK_DRIFT_MARGIN, MAX_PENDING_WRITES, TABLE_RETRY_INTERVAL_MS } from './constants.js';
import {
  type LeaseContext,
  type LeaseRow,
  type LeaseStep,
  type LeaseTimes,
  type LeaseValue,
  leaseValueSchema,
  type LeaseWrite,
} from './types.js';

const NO_CONTEXT: LeaseContext = { getStoreMs: () => undefined, isPredecessor: () => false };

/** The row as last read, with the clock reading at which its current version was first seen. */
interface ObservedRow {
  readonly value: LeaseValue | null;
  readonly version: number;
  readonly unchangedSinceMs: number;
}

/** A lease held by this process; `confirmedFromMs` was read before the confirmed write was sent. */
interface HeldLease {
  readonly fencing: number;
  readonly confirmedFromMs: number;
}

/**
 * State machine of one lease in one process. It performs no I/O and depends only on rows and on
 * readings of the process's monotonic clock.
 *
 * The holder measures the lease duration from before it sent its last successful write. A challenger
 * measures it from the reading of the store's clock in the row, or else from its first read of the row's
 * current version. Both are not earlier, so the holder's lease ends before a takeover. The former also holds
 * for a challenger that has just started. A row that can't be parsed counts as held for this process's lease duration.
 *
 * If the table is restored from a copy, later rows of the lease are lost, and their versions are given out again. The
 * lease is then not held, a row of an earlier era says nothing, and nobody takes the lease before one that was held at the
 * restore has ended. Tokens of an era are above those of all earlier ones.
 *
 * @example
 * const lease = Lease.create('south-1/boot-7', times, () => createId('lease'));
 * const step = lease.getNextStep(clock.nowMs());
 */
export class Lease {
  private observed: ObservedRow | undefined;

  private held: HeldLease | undefined;

  private nextActionAtMs = Number.NEGATIVE_INFINITY;

  private isReadNeeded = true;

  private highestFencingToken = 0;

  /** Send time of each write that may still have succeeded, by attempt id. */
  private pendingWrites = BoundedMap.create<string, number>(MAX_PENDING_WRITES);

  private constructor(
    readonly holder: string,
    private readonly times: LeaseTimes,
    private readonly createAttemptId: () => string,
    private readonly context: LeaseContext,
  ) {}

  /** @param holder unique per process start, so that a restarted process is a new holder */
  static create(
    holder: string,
    times: LeaseTimes,
    createAttemptId: () => string,
    context = NO_CONTEXT,
  ): Lease {
    return new Lease(holder, times, createAttemptId, context);
  }

  /** Gives the lease up and forgets the row, as the table was restored from a copy. */
  startEra(): void {
    this.observed = undefined;
    this.held = undefined;
    this.isReadNeeded = true;
    this.nextActionAtMs = Number.NEGATIVE_INFINITY;
    this.pendingWrites = BoundedMap.create<string, number>(MAX_PENDING_WRITES);
  }

  /** Returns the fencing token, or undefined if the lease is not held or has expired. */
  getFencingToken(nowMs: number): number | undefined {
    return this.getRemainingMs(nowMs) > 0 ? this.held?.fencing : undefined;
  }

  /** Returns the guaranteed remaining time of the lease, in milliseconds; 0 if it is not held. */
  getRemainingMs(nowMs: number): number {
    if (this.held === undefined) return 0;
    const usableMs = this.times.durationMs * (1 - CLOCK_DRIFT_MARGIN);
    return Math.max(0, this.held.confirmedFromMs + usableMs - nowMs);
  }

  /** Returns whether the lease is guaranteed to be held for longer than the given duration. */
  isHeldFor(durationMs: number, nowMs: number): boolean {
    return this.held !== undefined && this.getRemainingMs(nowMs) > durationMs;
  }

  /** Decides the next step. A returned write is recorded as sent at `nowMs`. */
  getNextStep(nowMs: number): LeaseStep {
    if (nowMs < this.nextActionAtMs) return { type: 'wait', untilMs: this.nextActionAtMs };
    const { observed } = this;
    if (observed === undefined || this.isReadNeeded) return { type: 'read' };
    const fencing = observed.value?.fencing ?? 0;
    const isOwn = this.isOwn(observed.value);
    if (!isOwn && nowMs < this.getAvailableAtMs(observed, nowMs)) return { type: 'read' };
    const isTokenCurrent = isOwn && fencing >= this.highestFencingToken;
    const floor = this.context.getEra?.()?.fencingFloor ?? 0;
    const nextFencing = isTokenCurrent
      ? fencing
      : Math.max(fencing, this.highestFencingToken, floor) + 1;
    return this.createWrite(observed, nextFencing, nowMs);
  }

  /**
   * Records a fencing token reported by a receiver. It keeps the next token acceptable to receivers
   * even if the row was lost or corrupted.
   */
  updateHighestFencingToken(fencing: number): void {
    this.highestFencingToken = Math.max(this.highestFencingToken, fencing);
  }

  /** Records the result of a read; `nowMs` is read after the row arrived. */
  recordRead(row: LeaseRow | null, nowMs: number): void {
    this.isReadNeeded = false;
    const version = row?.version ?? 0;
    const parsed = leaseValueSchema.safeParse(row?.value);
    const value = parsed.success ? parsed.data : null;
    const isUnchanged = this.observed?.version === version;
    const unchangedSinceMs = isUnchanged ? (this.observed?.unchangedSinceMs ?? nowMs) : nowMs;
    this.observed = { value, version, unchangedSinceMs };
    if (value !== null) this.updateHighestFencingToken(value.fencing);
    if (value === null || !this.isOwn(value)) {
      this.held = undefined;
      const waitMs = Math.max(0, this.getAvailableAtMs(this.observed, nowMs) - nowMs);
      this.nextActionAtMs = nowMs + Math.min(this.times.watchIntervalMs, waitMs);
      return;
    }
    const sentMs = this.pendingWrites.get(row?.attemptId ?? '');
    if (sentMs !== undefined) this.confirm(value.fencing, sentMs);
    // The next step renews the lease, based on the version that was just read.
    this.nextActionAtMs = nowMs;
  }

  /** Records that a write succeeded. */
  recordWritten(write: LeaseWrite, version: number, nowMs: number): void {
    const sentMs = this.pendingWrites.get(write.attemptId);
    this.observed = { value: write.value, version, unchangedSinceMs: nowMs };
    if (sentMs !== undefined) this.confirm(write.value.fencing, sentMs);
    this.pendingWrites.delete(write.attemptId);
    this.nextActionAtMs = (sentMs ?? nowMs) + this.times.renewalIntervalMs;
  }

  /** Records a write that failed because the row had changed, and the current row. */
  recordConflict(current: LeaseRow | null, nowMs: number): void {
    this.recordRead(current, nowMs);
  }

  /** Records a failed table request; the row is read again before the next decision. */
  recordFailure(nowMs: number): void {
    this.isReadNeeded = true;
    this.nextActionAtMs = nowMs + TABLE_RETRY_INTERVAL_MS;
  }

  /** Creates the write that releases the lease; undefined if the lease is not held. */
  createReleaseWrite(): LeaseWrite | undefined {
    const { held, observed } = this;
    this.held = undefined;
    if (held === undefined || observed === undefined) return undefined;
    const value = { holder: '', fencing: held.fencing, durationMs: 0, renewals: 0 };
    return { value, ifVersion: observed.version, attemptId: this.createAttemptId() };
  }

  /** Holder in the row as last read; undefined if it names none. */
  get observedHolder(): string | undefined {
    return this.observed?.value?.holder;
  }

  /** Returns the time until another process may take the lease over, in milliseconds; 0 if it may now. */
  getTakeoverDelayMs(nowMs: number): number {
    const { observed } = this;
    if (observed === undefined || this.isOwn(observed.value)) return 0;
    return Math.max(0, this.getAvailableAtMs(observed, nowMs) - nowMs);
  }

  private isOwn(value: LeaseValue | null): boolean {
    return value?.holder === this.holder && this.isOfEra(value);
  }

  private isOfEra(value: LeaseValue | null): boolean {
    const era = this.context.getEra?.();
    return era === undefined || (value !== null && value.fencing > era.fencingFloor);
  }

  private getAvailableAtMs({ value, version, unchangedSinceMs }: ObservedRow, nowMs: number) {
    const { durationMs, takeoverDelayMs } = this.times;
    const era = this.context.getEra?.();
    if (era !== undefined && !this.isOfEra(value))
      return era.sinceMs + durationMs + takeoverDelayMs;
    if (version === 0) return unchangedSinceMs;
    const isPredecessor = value !== null && this.context.isPredecessor(value.holder);
    const waitMs = (value?.durationMs ?? durationMs) + (isPredecessor ? 0 : takeoverDelayMs);
    const storeMs = this.context.getStoreMs();
    const sentMs = value?.sentAtStoreMs;
    // A row from the future can't be right; then the observation of the row decides.
    if (storeMs === undefined || sentMs === undefined || sentMs > storeMs)
      return unchangedSinceMs + waitMs;
    return Math.min(unchangedSinceMs, nowMs - (storeMs - sentMs)) + waitMs;
  }

  private createWrite(observed: ObservedRow, fencing: number, nowMs: number): LeaseStep {
    const attemptId = this.createAttemptId();
    this.pendingWrites.set(attemptId, nowMs);
    const isRenewal = this.isOwn(observed.value);
    const renewals = isRenewal ? (observed.value?.renewals ?? 0) + 1 : 0;
    const { durationMs } = this.times;
    const sentAtStoreMs = this.context.getStoreMs();
    const value = {
      holder: this.holder,
      fencing,
      durationMs,
      renewals,
      ...(sentAtStoreMs === undefined ? {} : { sentAtStoreMs }),
    };
    return { type: 'write', write: { value, ifVersion: observed.version, attemptId } };
  }

  private confirm(fencing: number, sentMs: number): void {
    const confirmedFromMs = Math.max(this.held?.confirmedFromMs ?? sentMs, sentMs);
    this.held = { fencing, confirmedFromMs };
  }
}
