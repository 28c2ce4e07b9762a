import { DATA_PATH_FAILURE_MS, LEAVING_MARK_MS, PROBE_REQUEST_LIMIT_MS } from './constants.js';
import type { WitnessRow } from './loadTable.js';

/** What this node itself knows of an endpoint, beside the rows of witnesses. */
export interface OwnEvidence {
  readonly isLeavingInVmList: boolean;
  /** Time since the endpoint itself said that it is draining, to this node. */
  readonly leavingMarkAgeMs?: number;
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
  witnesses: readonly WitnessRow[],
  own: OwnEvidence,
): EndpointState => {
  const isMarked = own.leavingMarkAgeMs !== undefined && own.leavingMarkAgeMs <= LEAVING_MARK_MS;
  if (own.isLeavingInVmList || isMarked) return 'leaving';
  if (witnesses.some(({ state }) => state === 'leaving')) return 'leaving';
  const successAgeMs = own.successAgeMs ?? Infinity;
  const unseen = witnesses.filter(({ state, ageMs }) => state === 'unseen' && ageMs < successAgeMs);
  const isFailureReported = witnesses.some(
    ({ state, ageMs }) =>
      state === 'failed' && ageMs <= DATA_PATH_FAILURE_MS && ageMs < successAgeMs,
  );
  const ownFailureAgeMs = own.failureAgeMs ?? Infinity;
  const isOwnFailure = ownFailureAgeMs <= DATA_PATH_FAILURE_MS && ownFailureAgeMs < successAgeMs;
  if (unseen.length >= 2) return 'dead';
  if (unseen.length === 1 && (isFailureReported || isOwnFailure)) return 'dead';
  const seen = witnesses.find(({ state }) => state === 'ready' || state === 'loading');
  // A single watcher that fails is all there is in a region of one node.
  if (seen === undefined) return unseen.length > 0 ? 'dead' : 'unknown';
  return seen.state === 'loading' ? 'loading' : 'ready';
};

/**
 * Lets one request at a time go to an endpoint that returned from death, until one of them is
 * answered.
 */
export class ReturnGate {
  private isReturning = false;

  private probeSinceMs: number | undefined;

  static create(): ReturnGate {
    return new ReturnGate();
  }

  /** Records the endpoint's present state. */
  update(state: EndpointState): void {
    if (state !== 'dead') return;
    this.isReturning = true;
    this.probeSinceMs = undefined;
  }

  /** Whether requests need a place from `tryTake`. */
  get isClosed(): boolean {
    return this.isReturning;
  }

  /** Takes the place of the one request that may go now. */
  tryTake(nowMs: number): boolean {
    if (!this.isReturning) return true;
    const isTaken =
      this.probeSinceMs !== undefined && nowMs - this.probeSinceMs < PROBE_REQUEST_LIMIT_MS;
    if (isTaken) return false;
    this.probeSinceMs = nowMs;
    return true;
  }

  /** Records the end of a request; an answer opens the gate. */
  recordResult(isAnswered: boolean): void {
    this.probeSinceMs = undefined;
    if (isAnswered) this.isReturning = false;
  }
}
