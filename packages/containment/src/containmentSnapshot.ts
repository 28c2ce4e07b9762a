import type { EndpointId, Fingerprint } from '@lovagearch/common';

/**
 * All that a node has in force, for a node that missed the news. Times are remaining durations.
 * Unlike news it reports no crash, so it is not counted or joined with other reports.
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
