import { MIN_RESTART_MS, SETTLE_MS } from './constants.js';

/** What became of a connection that was opened to find out whether an endpoint still runs. */
export type OpeningResult = 'accepted' | 'failed' | 'pending' | 'refused';

/** What the connections of an endpoint say after one of them has ended together with its response. */
export interface ConnectionEvidence {
  readonly opening: OpeningResult;
  /** Whether the connection that was opened is still open. */
  readonly hasOpenedConnection: boolean;
  /** Whether a connection is open that was established before the end can have arrived. */
  readonly hasOlderConnection: boolean;
  /** Whether the endpoint has closed or reset another connection at the time of the end, or since. */
  readonly hasLostConnection: boolean;
  /** Longest time between the arrival of the end and the opening, in milliseconds. */
  readonly openedAfterMs: number;
  /** Time since the end was read, in milliseconds. */
  readonly waitedMs: number;
}

/**
 * `running`: the process that sent the response outlives its end. `ended`: it has ended as well, so the response may be
 * incomplete. `unknown`: it may have ended and started again.
 */
export type EndpointLife = 'ended' | 'running' | 'unknown';

/**
 * Decides whether the process of an endpoint outlives the end of a connection, or returns `undecided` until there is
 * more evidence. When a process ends, its kernel closes all of its connections and listeners within milliseconds. A
 * listener that accepts later belongs to the same process, unless there was time for a restart.
 *
 * @example
 * const life = decideEndpointLife(evidence);
 * if (life === 'undecided') await waitForEvidence();
 */
export const decideEndpointLife = ({
  opening,
  hasOpenedConnection,
  hasOlderConnection,
  hasLostConnection,
  openedAfterMs,
  waitedMs,
}: ConnectionEvidence): EndpointLife | 'undecided' => {
  // An older connection that is still open may end a moment later.
  const hasSurvivor = hasOlderConnection && waitedMs >= SETTLE_MS;
  const wasOpenedBeforeRestart = openedAfterMs < MIN_RESTART_MS;
  switch (opening) {
    case 'accepted':
      if (!hasLostConnection)
        return wasOpenedBeforeRestart || hasOlderConnection ? 'running' : 'unknown';
      // The endpoint may have closed the lost connection on its own, and its listener, when it closes, resets the
      // connections that it has accepted.
      if (!hasOlderConnection && !(hasOpenedConnection && wasOpenedBeforeRestart)) return 'ended';
      return waitedMs >= SETTLE_MS ? 'running' : 'undecided';
    case 'refused':
      // An endpoint that is leaving takes no more connections and completes its responses.
      if (!hasOlderConnection) return 'ended';
      return hasSurvivor ? 'running' : 'undecided';
    case 'failed':
      if (hasOlderConnection) return hasSurvivor ? 'running' : 'undecided';
      return hasLostConnection ? 'ended' : 'unknown';
    case 'pending':
      return hasSurvivor ? 'running' : 'undecided';
    default:
      return opening satisfies never;
  }
};
