import {
  DATA_PATH_FAILURE_TTL_MS,
  LEAVING_NOTICE_TTL_MS,
  TRIAL_REQUEST_TIMEOUT_MS,
} from './constants.js';
import type { ObservedRow } from './loadTable.js';

/** This node's own knowledge of an endpoint, in addition to the rows received from observers. */
export interface LocalObservation {
  readonly isLeavingInVmList: boolean;
  /** Time since the endpoint notified this node that it is draining. */
  readonly leavingNoticeAgeMs?: number;
  /** Time since a call from this node to the endpoint failed with a connection error. */
  readonly failureAgeMs?: number;
  /** Time since this node last received a response from the endpoint. */
  readonly successAgeMs?: number;
}

/** State of an endpoint for routing. `unknown`: no observer has reported it yet. */
export type EndpointState = 'dead' | 'leaving' | 'loading' | 'ready' | 'unknown';

/**
 * Computes the state of an endpoint from all reports about it. One report is enough for `leaving`.
 * `dead` needs two: both watchers, or one watcher and a failed call with no later response.
 *
 * @example
 * computeEndpointState(table.getObservations(hash, nowMs), { isLeavingInVmList: false });
 */
export const computeEndpointState = (
  observations: readonly ObservedRow[],
  local: LocalObservation,
): EndpointState => {
  const hasLeavingNotice =
    local.leavingNoticeAgeMs !== undefined && local.leavingNoticeAgeMs <= LEAVING_NOTICE_TTL_MS;
  if (local.isLeavingInVmList || hasLeavingNotice) return 'leaving';
  if (observations.some(({ state }) => state === 'leaving')) return 'leaving';
  const successAgeMs = local.successAgeMs ?? Infinity;
  const unseenRows = observations.filter(
    ({ state, ageMs }) => state === 'unseen' && ageMs < successAgeMs,
  );
  const isFailureReported = observations.some(
    ({ state, ageMs }) =>
      state === 'failed' && ageMs <= DATA_PATH_FAILURE_TTL_MS && ageMs < successAgeMs,
  );
  const localFailureAgeMs = local.failureAgeMs ?? Infinity;
  const hasLocalFailure =
    localFailureAgeMs <= DATA_PATH_FAILURE_TTL_MS && localFailureAgeMs < successAgeMs;
  if (unseenRows.length >= 2) return 'dead';
  if (unseenRows.length === 1 && (isFailureReported || hasLocalFailure)) return 'dead';
  const liveRow = observations.find(({ state }) => state === 'ready' || state === 'loading');
  // A region with one node has a single watcher, whose failed poll has to be enough.
  if (liveRow === undefined) return unseenRows.length > 0 ? 'dead' : 'unknown';
  return liveRow.state === 'loading' ? 'loading' : 'ready';
};

/**
 * Limits an endpoint that was dead to one trial request at a time until it answers one, like a
 * half-open circuit breaker.
 */
export class RecoveryGate {
  private isRecovering = false;

  private trialStartMs: number | undefined;

  static create(): RecoveryGate {
    return new RecoveryGate();
  }

  /** Updates the gate with the endpoint's current state; `dead` starts a recovery. */
  update(state: EndpointState): void {
    if (state !== 'dead') return;
    this.isRecovering = true;
    this.trialStartMs = undefined;
  }

  /** Whether requests need a permit from `tryAcquireTrial`. */
  get isLimited(): boolean {
    return this.isRecovering;
  }

  /** Acquires the permit for a trial request; always succeeds while the gate is not limited. */
  tryAcquireTrial(nowMs: number): boolean {
    if (!this.isRecovering) return true;
    const isTrialPending =
      this.trialStartMs !== undefined && nowMs - this.trialStartMs < TRIAL_REQUEST_TIMEOUT_MS;
    if (isTrialPending) return false;
    this.trialStartMs = nowMs;
    return true;
  }

  /** Records the end of a request; a response ends the recovery. */
  recordResult(isAnswered: boolean): void {
    this.trialStartMs = undefined;
    if (isAnswered) this.isRecovering = false;
  }
}
