import {
  DATA_PATH_FAILURE_TTL_MS,
  LEAVING_NOTICE_TTL_MS,
  TRIAL_REQUEST_TIMEOUT_MS,
} from './constants.js';
import type { ObservedRow } from './loadTable.js';

/** What this node itself knows of an endpoint, beside the rows of witnesses. */
export interface LocalObservation {
  readonly isLeavingInVmList: boolean;
  /** Time since the endpoint itself said that it is draining, to this node. */
  readonly leavingNoticeAgeMs?: number;
  /** Time since a call of this node to the endpoint failed on the connection. */
  readonly failureAgeMs?: number;
  /** Time since this node had an answer of the endpoint. */
  readonly successAgeMs?: number;
}

/** State of an endpoint for routing. `unknown`: no witness has seen it yet. */
export type EndpointState = 'dead' | 'leaving' | 'loading' | 'ready' | 'unknown';

/**
 * Combines the witnesses of an endpoint. Leaving counts from any one of them. Dead needs two:
 * both watchers, or one watcher and a failure on the data path that no later answer outweighs.
 *
 * @example
 * computeEndpointState(table.getWitnesses(hash, nowMs), { isLeavingInVmList: false });
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
  // A single watcher that fails is all there is in a region of one node.
  if (liveRow === undefined) return unseenRows.length > 0 ? 'dead' : 'unknown';
  return liveRow.state === 'loading' ? 'loading' : 'ready';
};

/**
 * Lets one request at a time go to an endpoint that returned from death, until one of them is
 * answered.
 */
export class RecoveryGate {
  private isRecovering = false;

  private trialStartMs: number | undefined;

  static create(): RecoveryGate {
    return new RecoveryGate();
  }

  /** Records the endpoint's present state. */
  update(state: EndpointState): void {
    if (state !== 'dead') return;
    this.isRecovering = true;
    this.trialStartMs = undefined;
  }

  /** Whether requests need a place from `tryTake`. */
  get isLimited(): boolean {
    return this.isRecovering;
  }

  /** Takes the place of the one request that may go now. */
  tryAcquireTrial(nowMs: number): boolean {
    if (!this.isRecovering) return true;
    const isTaken =
      this.trialStartMs !== undefined && nowMs - this.trialStartMs < TRIAL_REQUEST_TIMEOUT_MS;
    if (isTaken) return false;
    this.trialStartMs = nowMs;
    return true;
  }

  /** Records the end of a request; an answer opens the gate. */
  recordResult(isAnswered: boolean): void {
    this.trialStartMs = undefined;
    if (isAnswered) this.isRecovering = false;
  }
}
