import {
  decideFirstEventWait,
  type Endpoint,
  type FirstEventDecision,
  type MoveOption,
  type SentRequest,
} from '@lovagearch/endpoints';

/** What a decision about a request that waits for its first event is based on, in milliseconds. */
export interface FirstEventAges {
  readonly waitedMs: number;
  readonly silentMs: number;
  readonly peerResponseAgeMs: number;
  readonly remainingMs: number;
}

export interface FirstEventDependencies {
  /** Number of nodes that send requests to the endpoint. */
  readonly nodeCount: number;
  /** Returns whether the request could be sent to another endpoint now. */
  readonly findMove: () => MoveOption;
  /** Called with each new decision about a request that waits for its first event, and what it is based on. */
  readonly onFirstEventDecision: (decision: FirstEventDecision, ages: FirstEventAges) => void;
}

/** The wait of one request for its first event at one endpoint. */
export class FirstEventWait {
  /** The last decision that the request stays. */
  private lastStay: Extract<FirstEventDecision, { type: 'stay' }> | undefined;

  private constructor(
    private readonly dependencies: FirstEventDependencies,
    private readonly endpoint: Endpoint,
    private readonly sent: SentRequest,
  ) {}

  static create(
    dependencies: FirstEventDependencies,
    endpoint: Endpoint,
    sent: SentRequest,
  ): FirstEventWait {
    return new FirstEventWait(dependencies, endpoint, sent);
  }

  /**
   * Decides whether the request stays, and suspends a silent endpoint at which it has to stay.
   *
   * @param silentMs time without bytes from the endpoint for this process
   */
  check(nowMs: number, silentMs: number, stallTimeoutMs: number): FirstEventDecision {
    const { endpoint, sent } = this;
    const { findMove, nodeCount, onFirstEventDecision } = this.dependencies;
    const ages: FirstEventAges = {
      waitedMs: nowMs - sent.sentAtMs,
      silentMs,
      peerResponseAgeMs: nowMs - endpoint.lastPeerResponseAtMs,
      remainingMs: endpoint.estimateRemainingWaitMs(sent, nowMs, nodeCount),
    };
    const decision = decideFirstEventWait({ ...ages, stallTimeoutMs, ownMs: sent.ownMs, findMove });
    if (decision.type === 'stay') {
      const { reason, isSilent } = decision;
      if (reason === this.lastStay?.reason && isSilent === this.lastStay.isSilent) return decision;
      this.lastStay = decision;
      // Other requests avoid the endpoint, although this one has no better place.
      if (isSilent) endpoint.recordTransportFailure(nowMs);
    }
    onFirstEventDecision(decision, ages);
    return decision;
  }
}
