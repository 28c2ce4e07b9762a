import type { ResultAsync } from 'neverthrow';
import * as z from 'zod';
import { MAX_LEASE_MS } from './constants.js';

/** Value of a row `lease/<service>/<region>`. An empty holder means that the lease was released. */
export const leaseValueSchema = z.object({
  holder: z.string(),
  fencing: z.number().int().nonnegative(),
  durationMs: z.number().nonnegative().max(MAX_LEASE_MS),
  renewals: z.number().int().nonnegative(),
  /** Reading of the store's clock when the holder sent the write; missing if the store has no clock. */
  sentAtStoreMs: z.number().optional(),
});
export type LeaseValue = z.infer<typeof leaseValueSchema>;

/** A row as returned by the platform's table client. */
export interface LeaseRow {
  readonly value: unknown;
  readonly version: number;
  readonly attemptId: string | null;
}

export type LeaseTableError =
  | { readonly type: 'conflict'; readonly current: LeaseRow | null }
  | { readonly type: 'outcome_unknown'; readonly message: string }
  | { readonly type: 'protocol_violation'; readonly message: string }
  | { readonly type: 'unavailable'; readonly message: string };

/** The operations of the platform's table client that leases need. */
export interface LeaseTable {
  readonly read: (key: string) => ResultAsync<LeaseRow | null, LeaseTableError>;
  readonly write: (
    key: string,
    value: unknown,
    ifVersion: number | undefined,
    attemptId: string,
  ) => ResultAsync<{ readonly version: number }, LeaseTableError>;
}

/** A conditional write requested by the lease. */
export interface LeaseWrite {
  readonly value: LeaseValue;
  readonly ifVersion: number;
  readonly attemptId: string;
}

/** The next step of a lease; `untilMs` is a reading of the process's monotonic clock. */
export type LeaseStep =
  | { readonly type: 'read' }
  | { readonly type: 'wait'; readonly untilMs: number }
  | { readonly type: 'write'; readonly write: LeaseWrite };

/** The present era of a table that was restored from a copy, and so may have lost rows of the lease. */
export interface LeaseEra {
  /** Fencing tokens of earlier eras are not above it. */
  readonly fencingFloor: number;
  /** Reading of the process's monotonic clock at which the process learned of the era. */
  readonly sinceMs: number;
}

/** What a process knows about its table and its VM, beyond the row; without it, the row alone decides. */
export interface LeaseContext {
  /** Reads the store's clock, which is common to all holders; undefined if it is not known. */
  readonly getStoreMs: () => number | undefined;
  /**
   * Whether a holder is an earlier start of this process on the same VM. Receivers accept calls of one VM at any
   * time, so only the lease itself is waited for, in which calls of the former process may still arrive.
   */
  readonly isPredecessor: (holder: string) => boolean;
  /** Returns undefined if the table was never restored. */
  readonly getEra?: () => LeaseEra | undefined;
}

export interface LeaseTimes {
  readonly durationMs: number;
  readonly renewalIntervalMs: number;
  readonly watchIntervalMs: number;
  /** Delay before a takeover; random per process, so that challengers don't write at the same time. */
  readonly takeoverDelayMs: number;
}

/**
 * Returns the row key of the lease of a service in a region.
 *
 * @example
 * getLeaseKey('estimator', 'south'); // 'lease/estimator/south'
 */
export const getLeaseKey = (service: string, region: string): string =>
  `lease/${service}/${region}`;
