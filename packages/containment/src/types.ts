import type { EndpointId, Fingerprint } from '@lovagearch/common';

/**
 * News for other nodes. Times are remaining durations, never clock readings. `isTrial`: the
 * request crashed the endpoint while it was run there as a suspect.
 */
export type ContainmentEvent =
  | {
      readonly type: 'suspect';
      readonly fingerprint: Fingerprint;
      readonly endpoint: EndpointId;
      readonly remainingMs: number;
    }
  | {
      readonly type: 'quarantined';
      readonly fingerprint: Fingerprint;
      readonly endpoint: EndpointId;
      readonly remainingMs: number;
      readonly isTrial: boolean;
    }
  | { readonly type: 'cleared'; readonly fingerprint: Fingerprint; readonly endpoint: EndpointId }
  | {
      readonly type: 'trial';
      readonly fingerprint: Fingerprint;
      readonly endpoint: EndpointId;
      readonly isRunning: boolean;
    }
  | { readonly type: 'faulty'; readonly endpoint: EndpointId; readonly remainingMs: number };

/** Whether a request may run. `isBusy`: another suspect runs on the endpoint that crashed. */
export type ContainmentDecision =
  | { readonly type: 'clear' }
  | { readonly type: 'only_on'; readonly endpoint: EndpointId; readonly isTrialRunning: boolean }
  | { readonly type: 'quarantined'; readonly remainingMs: number };

/** A fingerprint that is not free to run anywhere. */
export interface ContainmentEntry {
  readonly type: 'quarantined' | 'suspect';
  readonly endpoint: EndpointId;
  readonly isTrial: boolean;
  /** Clock reading at which it was added on this node. */
  readonly sinceMs: number;
  readonly untilMs: number;
}
