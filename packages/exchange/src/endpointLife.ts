import { MIN_RESTART_MS, SETTLE_MS, UNREAD_SETTLE_MS } from './constants.js';

/** What became of a connection that was opened to find out whether an endpoint still runs. */
export type OpeningResult = 'accepted' | 'failed' | 'pending' | 'refused';

/** What the connections of an endpoint say after one of them has ended together with its response. */
export interface ConnectionEvidence {
  /** What became of the connection that was opened last. */
  readonly opening: OpeningResult;
  /** Whether that connection is still open. */
  readonly hasOpenedConnection: boolean;
  /** Whether the endpoint accepted another one before that and closed it. */
  readonly hasAcceptedBefore: boolean;
  /** Whether a connection is open and read that was established before the end can have arrived. */
  readonly hasOlderConnection: boolean;
  /** Whether such a connection isn't read at the moment, so that its end would not be noticed. */
  readonly hasUnreadConnection: boolean;
  /** Whether the endpoint has closed or reset another connection at the time of the end, or since. */
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

/** `reopen`: another connection has to be opened. `undecided`: there will be more evidence. */
export type EndpointLifeDecision = EndpointLife | 'reopen' | 'undecided';

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
 * all of its connections and listeners within milliseconds, and resets the connections that a listener has accepted. A
 * listener that accepts later belongs to the same process, unless there was time for a restart.
 *
 * @example
 * const life = decideEndpointLife(evidence);
 * if (life === 'undecided') await waitForEvidence();
 */
export const decideEndpointLife = (evidence: ConnectionEvidence): EndpointLifeDecision => {
  const { hasLostConnection, watchedMs } = evidence;
  const byOlder = decideByOlderConnections(evidence);
  const canBeRestart = evidence.openedAfterMs >= MIN_RESTART_MS;
  switch (evidence.opening) {
    case 'accepted':
      if (!hasLostConnection)
        return canBeRestart && !evidence.hasOlderConnection ? 'unknown' : 'running';
      if (canBeRestart) return byOlder === 'none' ? 'ended' : byOlder;
      // A running endpoint closes connections too: idle ones, surplus ones, and those of requests that failed.
      if (evidence.hasAcceptedBefore) return 'running';
      if (!evidence.hasOpenedConnection) return 'reopen';
      return watchedMs >= SETTLE_MS ? 'running' : 'undecided';
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
