import { MIN_RESTART_MS, SETTLE_MS, UNREAD_SETTLE_MS } from './constants.js';

/** What became of a connection that was opened to find out whether an endpoint still runs. */
export type OpeningResult = 'accepted' | 'failed' | 'pending' | 'refused';

/** What the connections of an endpoint say after one of them has ended together with its response. */
export interface ConnectionEvidence {
  readonly opening: OpeningResult;
  /** Whether a connection is open and read that was established before the end can have arrived. */
  readonly hasOlderConnection: boolean;
  /** Whether such a connection isn't read at the moment, so that its end would not be noticed. */
  readonly hasUnreadConnection: boolean;
  /** Whether the endpoint has closed or reset another connection at the time of the end, or since, and after the request. */
  readonly hasLostConnection: boolean;
  /** Longest time between the arrival of the end and the opening, in milliseconds. */
  readonly openedAfterMs: number;
  /** Time for which all connections have been watched since the opening, in milliseconds. */
  readonly watchedMs: number;
}

/**
 * `running`: the process that sent the response outlives its end. `ended`: it has ended as well, so the response may be
 * incomplete. `unknown`: it may have ended and started again.
 */
export type EndpointLife = 'ended' | 'running' | 'unknown';

/** Decides by the connections that are older than the end. */
const decideByOlderConnections = ({
  hasOlderConnection,
  hasUnreadConnection,
  watchedMs,
}: ConnectionEvidence): 'none' | 'running' | 'undecided' => {
  // An older connection that is still open may end a moment later.
  if (hasOlderConnection) return watchedMs >= SETTLE_MS ? 'running' : 'undecided';
  return hasUnreadConnection && watchedMs < UNREAD_SETTLE_MS ? 'undecided' : 'none';
};

/**
 * Decides whether the process of an endpoint outlives the end of a connection. When a process ends, its kernel closes
 * all of its connections and listeners within milliseconds. A listener that accepts later belongs to the same process,
 * unless there was time for a restart. Returns `undecided` until there is more evidence.
 *
 * @example
 * const life = decideEndpointLife(evidence);
 * if (life === 'undecided') await waitForEvidence();
 */
export const decideEndpointLife = (evidence: ConnectionEvidence): EndpointLife | 'undecided' => {
  const { hasLostConnection } = evidence;
  const byOlder = decideByOlderConnections(evidence);
  switch (evidence.opening) {
    case 'accepted':
      // A proxy or another worker may accept for a process that has ended, whose connections are all lost.
      if (hasLostConnection) return byOlder === 'none' ? 'ended' : byOlder;
      return evidence.openedAfterMs < MIN_RESTART_MS || evidence.hasOlderConnection
        ? 'running'
        : 'unknown';
    case 'refused':
      // An endpoint that is leaving takes no more connections and completes its responses.
      return byOlder === 'none' ? 'ended' : byOlder;
    case 'failed':
      if (byOlder !== 'none') return byOlder;
      return hasLostConnection ? 'ended' : 'unknown';
    case 'pending':
      return byOlder === 'none' ? 'undecided' : byOlder;
    default:
      return evidence.opening satisfies never;
  }
};
