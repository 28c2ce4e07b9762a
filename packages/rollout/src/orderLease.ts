import { type Clock, createId, getErrorMessage } from '@lovagearch/common';
import { Lease, type LeaseRow } from '@lovagearch/leases';
import {
  LEASE_ACQUIRE_JITTER_MS,
  CONFIRMATION_MAX_AGE_MS,
  FENCING_TOKENS_PER_ERA,
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
  | {
      readonly type: 'written';
      readonly version: number;
      /** Reading of the store's clock in its response. */
      readonly storeMs?: number | undefined;
    };

export type LeaseReadResult =
  | { readonly type: 'row'; readonly row: LeaseRow | null }
  | { readonly type: 'unavailable'; readonly reason: string };

/** An order whose row is written atomically with the lease. */
export interface AnnouncedOrder {
  readonly endpointId: string;
  readonly model: string;
  readonly version: number;
  /** Reading of the store's clock when the order was announced; undefined if it is not known. */
  readonly announcedAtStoreMs?: number | undefined;
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

/** The clock of the store, which all nodes share. */
export interface SharedClock {
  /** Returns undefined while no reading is known. */
  readonly nowMs: () => number | undefined;
  readonly recordReading: (storeMs: number) => void;
}

/** Era of the store, which rises when it is restored from a copy. */
export interface SharedEra {
  /** 0 if the store names none. */
  readonly current: number;
  /** Reading of the process's clock at which the process learned of the era. */
  readonly sinceMs: number;
}

export interface OrderLeaseOptions {
  /** Identity of the VM and of this start of its process. */
  readonly holder: { readonly vm: string; readonly start: string };
  readonly store: LeaseStore;
  readonly clock: Clock;
  readonly storeClock: SharedClock;
  /** By default the store is never restored. */
  readonly storeEra?: SharedEra;
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
  | { readonly type: 'lost'; readonly holder: string }
  | { readonly type: 'waiting'; readonly holder: string; readonly waitMs: number };

/** Permission to send orders. It expires on its own, so it is obtained right before each order. */
export interface OrderPermit {
  readonly fencing: number;
}

/**
 * The lease that allows its holder to send orders. It is only renewed while there are orders to
 * send: each permit is backed by a conditional write less than CONFIRMATION_MAX_AGE_MS old,
 * measured by a clock that includes VM suspensions and by the clock of the store.
 *
 * Receivers accept orders of one VM at any time, but of two VMs only some seconds apart. So a process that has
 * restarted only waits until the lease of its predecessor has ended, and another VM longer.
 */
export class OrderLease {
  private readonly lease: Lease;

  private lastSeenVersion = -1;

  private heldFencing: number | undefined;

  /** Reading of the suspension clock before the last successful write was sent. */
  private confirmedAtMs = Number.NEGATIVE_INFINITY;

  /** Reading of the store's clock that this write carried. */
  private confirmedAtStoreMs: number | undefined;

  private nextReadMs = Number.NEGATIVE_INFINITY;

  /** Holder whose lease this process was last reported to wait for. */
  private awaitedHolder: string | undefined;

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
    const { vm } = options.holder;
    this.lease = Lease.create(this.holder, times, () => createId('lease'), {
      getStoreMs: () => options.storeClock.nowMs(),
      isPredecessor: (holder) => holder !== this.holder && holder.startsWith(`${vm}/`),
      getEra: () => {
        const { current = 0, sinceMs = 0 } = options.storeEra ?? {};
        if (current <= 1) return undefined;
        return { fencingFloor: (current - 1) * FENCING_TOKENS_PER_ERA, sinceMs };
      },
    });
  }

  static create(options: OrderLeaseOptions): OrderLease {
    return new OrderLease(options);
  }

  get holder(): string {
    const { vm, start } = this.options.holder;
    return `${vm}/${start}`;
  }

  /** Whether this process is the last known holder of the lease. */
  get isHolder(): boolean {
    return this.heldFencing !== undefined;
  }

  /** Gives the lease up, as the store was restored from a copy. */
  startEra(): void {
    this.lease.startEra();
    this.lastSeenVersion = -1;
    this.awaitedHolder = undefined;
    if (this.heldFencing === undefined) return;
    this.heldFencing = undefined;
    this.options.onChange({ type: 'lost', holder: '' });
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
    const storeAgeMs = this.getStoreAgeMs() ?? 0;
    return Math.max(ageMs, storeAgeMs) < CONFIRMATION_MAX_AGE_MS ? { fencing } : undefined;
  }

  /**
   * Acquires or renews the lease and announces an order in the same write.
   *
   * @returns undefined if another process holds the lease or the store did not confirm it
   */
  async confirm(announced: AnnouncedOrder | undefined): Promise<OrderPermit | undefined> {
    const { clock, store, storeClock, suspensionClock } = this.options;
    const step = this.lease.getNextStep(clock.nowMs());
    if (step.type === 'wait') return undefined;
    if (step.type === 'read') {
      this.reportWait();
      await this.readRow();
      return undefined;
    }
    const sentMs = suspensionClock.nowMs();
    const { write } = step;
    const { sentAtStoreMs } = write.value;
    const stamped = announced && { ...announced, announcedAtStoreMs: sentAtStoreMs };
    const result = await this.tryWrite(() =>
      store.write(write.value, write.ifVersion, write.attemptId, stamped),
    );
    const nowMs = clock.nowMs();
    switch (result.type) {
      case 'written':
        this.lease.recordWritten(write, result.version, nowMs);
        this.lastSeenVersion = Math.max(this.lastSeenVersion, result.version);
        this.confirmedAtMs = sentMs;
        this.confirmedAtStoreMs = sentAtStoreMs;
        // The first response after a suspension shows how far the estimate in the row was behind.
        if (result.storeMs !== undefined) storeClock.recordReading(result.storeMs);
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
      typeof row?.value === 'object' &&
      row.value !== null &&
      'holder' in row.value &&
      typeof row.value.holder === 'string'
        ? row.value.holder
        : '';
    if (holder === this.holder) return;
    this.heldFencing = undefined;
    this.options.onChange({ type: 'lost', holder });
  }

  private getStoreAgeMs(): number | undefined {
    const storeMs = this.options.storeClock.nowMs();
    if (storeMs === undefined || this.confirmedAtStoreMs === undefined) return undefined;
    return storeMs - this.confirmedAtStoreMs;
  }

  /** Reports once for each holder that this process waits for its lease to end. */
  private reportWait(): void {
    const waitMs = this.lease.getTakeoverDelayMs(this.options.clock.nowMs());
    const holder = this.lease.observedHolder ?? '';
    if (waitMs === 0 || this.awaitedHolder === holder) return;
    this.awaitedHolder = holder;
    this.options.onChange({ type: 'waiting', holder, waitMs: Math.round(waitMs) });
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
