/** How attempts to open connections to an endpoint fail. */
export type ConnectFailureCause = 'refused' | 'reset' | 'timeout';

/** Why an endpoint counts as out of reach; `silence` if requests on open connections get no byte. */
export type LossCause = ConnectFailureCause | 'silence';

/** What a node knows of its network link to an endpoint. */
export type LinkState =
  | { readonly type: 'reachable' }
  /** New connections fail, and open ones still carry responses. */
  | { readonly type: 'refusing'; readonly cause: LossCause; readonly sinceMs: number }
  /** Peers hear the endpoint, and this node doesn't. */
  | { readonly type: 'lost'; readonly cause: LossCause; readonly sinceMs: number }
  /** Nobody is known to hear the endpoint, which may have ended. */
  | { readonly type: 'unanswered'; readonly cause: LossCause; readonly sinceMs: number };

/** An endpoint that is registered, with what others hear of it. */
export interface ObservedEndpoint {
  /** Key of the endpoint's start. */
  readonly key: string;
  readonly service: string;
  readonly zone: string;
  /** Clock reading of the last response of the endpoint that a peer reported; -Infinity without one. */
  readonly heardElsewhereAtMs: number;
}

/** What a change of a link's state rests on, for the log. */
export interface LinkChange {
  readonly endpoint: ObservedEndpoint;
  readonly from: LinkState;
  readonly to: LinkState;
  /** Whether no attempt at this endpoint failed, but attempts at others of its group. */
  readonly isInferred: boolean;
  /** Age of the last bytes that this node received from the endpoint, in milliseconds. */
  readonly bytesAgeMs: number;
  /** Age of the last response that a peer reported, in milliseconds. */
  readonly heardElsewhereAgeMs: number;
}

/** An endpoint at which a connection should be attempted, as evidence. */
export interface LinkSuspicion {
  readonly endpoint: ObservedEndpoint;
  readonly cause: LossCause;
  /** Time since the first failed attempt, or since requests wait without a byte, in milliseconds. */
  readonly failingForMs: number;
  readonly bytesAgeMs: number;
  readonly heardElsewhereAgeMs: number;
}
