import type { EndpointId, Fingerprint } from '@lovagearch/common';

/**
 * All active entries of a node, sent to a node that missed events. Times are remaining durations.
 * Unlike an event, a snapshot does not report a crash: its entries are neither counted as crashes
 * nor correlated with other reports.
 */
export interface ContainmentSnapshot {
  readonly entries: readonly {
    readonly type: 'quarantined' | 'suspect';
    readonly fingerprint: Fingerprint;
    readonly endpoint: EndpointId;
    readonly isTrial: boolean;
    readonly remainingMs: number;
  }[];
  readonly faulty: readonly { readonly endpoint: EndpointId; readonly remainingMs: number }[];
}
