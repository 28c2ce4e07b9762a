import { type Clock, createId, getErrorMessage } from '@lovagearch/common';
import { Lease, type LeaseRow } from '@lovagearch/leases';
import {
  LEASE_ACQUIRE_JITTER_MS,
  CONFIRMATION_MAX_AGE_MS,
  MIN_LEASE_READ_INTERVAL_MS,
  ORDER_LEASE_MS,
  TAKEOVER_MARGIN_MS,
} from './constants.js';

/**
 * Result of a conditional write; after `unknown` the write may have taken effect or still do so.
 */
export type LeaseWriteResult =
  | { readonly type: 'conflict'; readonly current: LeaseRow | null }
  | { readonly type: 'unknown'; readonly reason: string }
  | { readonly type: 'written'; readonly version: number };

export type LeaseReadResult =
  | { readonly type: 'row'; readonly row: LeaseRow | null }
  | { readonly type: 'unavailable'; readonly reason: string };

/** An order whose row is written atomically with the lease. */
export interface AnnouncedOrder {
  readonly endpointId: string;
  readonly model: string;
  readonly version: number;
}

/** Store operations that the lease needs. */
export interface LeaseStore {
  readonly read: () => Promise<LeaseReadResult>;
  readonly write: (
    value: unknown,
    ifVersion: number,
    attemptId: string,
    announced: AnnouncedOrder | undefined,
  ) => Promise<LeaseWriteResult>;
}

export interface OrderLeaseOptions {
  readonly holder: string;
  readonly store: LeaseStore;
  readonly clock: Clock;
  /** Includes time during which the VM was suspended. */
  readonly suspensionClock: Clock;
  /** Minimum time between orders of different holders that receivers accept, in milliseconds. */
  readonly minHandoverMs: number;
  readonly random: () => number;
  readonly onChange: (event: LeaseEvent) => void;
}

export type LeaseEvent =
  | { readonly type: 'acquired'; readonly fencing: number }
  | { readonly type: 'failed'; readonly reason: string }
  | { readonly type: 'lost'; readonly holder: string };

/** Permission to send orders. It expires on its own, so it is obtained right before each order. */
export interface OrderPermit {
  readonly fencing: number;
}

/**
 * The lease that allows its holder to send orders. It is only renewed while there are orders to
 * send: each permit is backed by a conditional write less than CONFIRMATION_MAX_AGE_MS old,
 * measured by a clock that includes VM suspensions.
 */
export class OrderLease {
  private readonly lease: Lease;

  private lastSeenVersion = -1;

  private heldFencing: number | undefined;

  /** Reading of the suspension clock before the last successful write was sent. */
  private confirmedAtMs = Number.NEGATIVE_INFINITY;

  private nextReadMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: OrderLeaseOptions) {
    const takeoverDelayMs =
      options.minHandoverMs +
      TAKEOVER_MARGIN_MS +
      Math.floor(options.random() * LEASE_ACQUIRE_JITTER_MS);
    const times = {
      durationMs: ORDER_LEASE_MS,
      renewalIntervalMs: 0,
      watchIntervalMs: 0,
      takeoverDelayMs,
    };
    this.lease = Lease.create(options.holder, times, () => createId('lease'));
  }

  static create(options: OrderLeaseOptions): OrderLease {
    return new OrderLease(options);
  }

  get holder(): string {
    return this.options.holder;
  }

  /** Whether this process is the last known holder of the lease. */
  get isHolder(): boolean {
    return this.heldFencing !== undefined;
  }

  /** Applies the row as seen by the mirror, which may lag behind this process's own writes. */
  updateRow(row: LeaseRow | null): void {
    const version = row?.version ?? 0;
    if (version <= this.lastSeenVersion) return;
    this.applyRow(row);
  }

  /** Returns a permit if the last confirmation is recent enough for another order. */
  getPermit(): OrderPermit | undefined {
    const { clock, suspensionClock } = this.options;
    const fencing = this.lease.getFencingToken(clock.nowMs());
    if (fencing === undefined) return undefined;
    const ageMs = suspensionClock.nowMs() - this.confirmedAtMs;
    return ageMs < CONFIRMATION_MAX_AGE_MS ? { fencing } : undefined;
  }

  /**
   * Acquires or renews the lease and announces an order in the same write.
   *
   * @returns undefined if another process holds the lease or the store did not confirm it
   */
  async confirm(announced: AnnouncedOrder | undefined): Promise<OrderPermit | undefined> {
    const { clock, store, suspensionClock } = this.options;
    const step = this.lease.getNextStep(clock.nowMs());
    if (step.type === 'wait') return undefined;
    if (step.type === 'read') {
      await this.readRow();
      return undefined;
    }
    const sentMs = suspensionClock.nowMs();
    const { write } = step;
    const result = await this.tryWrite(() =>
      store.write(write.value, write.ifVersion, write.attemptId, announced),
    );
    const nowMs = clock.nowMs();
    switch (result.type) {
      case 'written':
        this.lease.recordWritten(write, result.version, nowMs);
        this.lastSeenVersion = Math.max(this.lastSeenVersion, result.version);
        this.confirmedAtMs = sentMs;
        this.recordAcquired(write.value.fencing);
        return this.getPermit();
      case 'conflict':
        this.applyRow(result.current);
        return undefined;
      case 'unknown':
        this.lease.recordFailure(nowMs);
        this.options.onChange({ type: 'failed', reason: result.reason });
        return undefined;
      default:
        return result satisfies never;
    }
  }

  private async readRow(): Promise<void> {
    const nowMs = this.options.clock.nowMs();
    if (nowMs < this.nextReadMs) return;
    this.nextReadMs = nowMs + MIN_LEASE_READ_INTERVAL_MS;
    const result = await this.options.store.read();
    if (result.type === 'row') this.applyRow(result.row);
    else {
      this.lease.recordFailure(this.options.clock.nowMs());
      this.options.onChange({ type: 'failed', reason: result.reason });
    }
  }

  private applyRow(row: LeaseRow | null): void {
    this.lastSeenVersion = Math.max(this.lastSeenVersion, row?.version ?? 0);
    this.lease.recordRead(row, this.options.clock.nowMs());
    if (this.heldFencing === undefined) return;
    if (this.lease.getFencingToken(this.options.clock.nowMs()) !== undefined) return;
    const holder =
      typeof row?.value === 'object' && row.value !== null && 'holder' in row.value
        ? String(row.value.holder)
        : '';
    if (holder === this.options.holder) return;
    this.heldFencing = undefined;
    this.options.onChange({ type: 'lost', holder });
  }

  private recordAcquired(fencing: number): void {
    if (this.heldFencing === fencing) return;
    this.heldFencing = fencing;
    this.options.onChange({ type: 'acquired', fencing });
  }

  private async tryWrite(call: () => Promise<LeaseWriteResult>): Promise<LeaseWriteResult> {
    try {
      return await call();
    } catch (error) {
      return { type: 'unknown', reason: getErrorMessage(error) };
    }
  }
}
