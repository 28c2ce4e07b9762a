import type { Endpoint, MoveOption } from '@lovagearch/endpoints';
import { SILENCE_RECHECK_MS } from './constants.js';

/** What becomes of a response whose endpoint has sent nothing for the stall timeout. */
export type SilenceDecision =
  | { readonly type: 'leave' }
  | { readonly type: 'stay'; readonly reason: string; readonly recheckMs: number };

export interface SilenceDependencies {
  /** Returns whether the rest of the response can be requested from another endpoint now. */
  readonly findMove: () => MoveOption;
  /** Called with each new decision. */
  readonly onSilence: (decision: SilenceDecision, silentMs: number) => void;
}

/** A response that has begun and whose endpoint may fall silent. */
export class SilentResponse {
  /** Why the response stayed at its endpoint the last time; undefined if it was not silent yet. */
  private lastReason: string | undefined;

  private constructor(
    private readonly dependencies: SilenceDependencies,
    private readonly endpoint: Endpoint,
  ) {}

  static create(dependencies: SilenceDependencies, endpoint: Endpoint): SilentResponse {
    return new SilentResponse(dependencies, endpoint);
  }

  /**
   * Decides whether to leave the endpoint. The response stays if it can go on nowhere else: the endpoint may go on, and
   * the caller decides how long to wait.
   *
   * @param silentMs time without bytes from the endpoint, in milliseconds
   * @example
   * const decision = silentResponse.check(clock.nowMs(), 1_250);
   * if (decision.type === 'stay') checkAgainIn(decision.recheckMs);
   */
  check(nowMs: number, silentMs: number): SilenceDecision {
    const { findMove, onSilence } = this.dependencies;
    const move = findMove();
    switch (move.type) {
      case 'possible': {
        const decision: SilenceDecision = { type: 'leave' };
        onSilence(decision, silentMs);
        return decision;
      }
      case 'blocked': {
        const { reason } = move;
        const decision: SilenceDecision = { type: 'stay', reason, recheckMs: SILENCE_RECHECK_MS };
        // Other requests avoid the endpoint, although this one has no better place.
        if (this.lastReason === undefined) this.endpoint.recordTransportFailure(nowMs);
        if (this.lastReason !== reason) onSilence(decision, silentMs);
        this.lastReason = reason;
        return decision;
      }
      default:
        return move satisfies never;
    }
  }
}
