import { FIRST_EVENT_RECHECK_MS, MOVE_MARGIN_MS } from './constants.js';

/** Whether a request that waits at an endpoint could be sent to another one instead. */
export type MoveOption =
  | { readonly type: 'blocked'; readonly reason: string }
  | {
      readonly type: 'possible';
      /** Expected time from sending to the first byte there, in milliseconds. */
      readonly expectedMs: number;
    };

export interface FirstEventWaitInput {
  /** Time since this request last made progress or this process received bytes from the endpoint. */
  readonly silentMs: number;
  /** Time since a peer received a response from the endpoint; infinite if none did. */
  readonly peerResponseAgeMs: number;
  /** Time without any sign of work after which an endpoint is left, in milliseconds. */
  readonly stallTimeoutMs: number;
  /** Expected time until the endpoint answers this request, in milliseconds. */
  readonly remainingMs: number;
  /** Work of this request that the endpoint may have begun, in milliseconds; it is lost by a move. */
  readonly ownMs: number;
  /** Looks for an alternative; called only if the decision depends on it. */
  readonly findMove: () => MoveOption;
}

export type FirstEventDecision =
  | {
      readonly type: 'stay';
      readonly reason: string;
      readonly isSilent: boolean;
      readonly recheckMs: number;
    }
  | { readonly type: 'withdraw'; readonly reason: 'earlier_elsewhere' | 'silent' };

/**
 * Decides whether a request without a first event stays at its endpoint. An endpoint that answers other requests has
 * queued it; to send it elsewhere means to queue again, at the end. It is withdrawn only if nobody has heard from the
 * endpoint for the stall timeout, or if another one answers it earlier by more than the cost of the move, and only if
 * it can be sent elsewhere: an answer may still come, a failure ends the request.
 *
 * @example
 * const decision = decideFirstEventWait({ ...input, silentMs: 1_300, peerResponseAgeMs: 200 });
 * if (decision.type === 'stay') checkAgainIn(decision.recheckMs);
 */
export const decideFirstEventWait = ({
  silentMs,
  peerResponseAgeMs,
  stallTimeoutMs,
  remainingMs,
  ownMs,
  findMove,
}: FirstEventWaitInput): FirstEventDecision => {
  if (silentMs < stallTimeoutMs)
    return {
      type: 'stay',
      reason: 'own_responses',
      isSilent: false,
      recheckMs: stallTimeoutMs - silentMs,
    };
  const isSilent = peerResponseAgeMs >= stallTimeoutMs;
  const move = findMove();
  if (move.type === 'blocked')
    return { type: 'stay', reason: move.reason, isSilent, recheckMs: FIRST_EVENT_RECHECK_MS };
  if (isSilent) return { type: 'withdraw', reason: 'silent' };
  if (move.expectedMs + ownMs + MOVE_MARGIN_MS < remainingMs)
    return { type: 'withdraw', reason: 'earlier_elsewhere' };
  return { type: 'stay', reason: 'peer_responses', isSilent, recheckMs: FIRST_EVENT_RECHECK_MS };
};
