import type { EndpointId, Fingerprint } from '@lovagearch/common';

/**
 * Event sent to other nodes. Times are remaining durations, never clock readings. `isTrial`: the
 * request crashed the endpoint during a trial, that is, while it ran there as a suspect.
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

/**
 * Whether a request may run. `isTrialRunning`: a suspect is running on the endpoint that crashed.
 */
export type ContainmentDecision =
  | { readonly type: 'clear' }
  | { readonly type: 'only_on'; readonly endpoint: EndpointId; readonly isTrialRunning: boolean }
  | { readonly type: 'quarantined'; readonly remainingMs: number };

/** A fingerprint whose requests are restricted to one endpoint or rejected. */
export interface ContainmentEntry {
  readonly type: 'quarantined' | 'suspect';
  readonly endpoint: EndpointId;
  readonly isTrial: boolean;
  /** Clock reading at which the entry was added on this node. */
  readonly sinceMs: number;
  readonly untilMs: number;
}
