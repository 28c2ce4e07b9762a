export interface RelayInput {
  /** Whether a peer passed the request on; it goes one hop at most. */
  readonly isRelayed: boolean;
  /** Whether part of a response has been sent to the caller. */
  readonly hasResponseStarted: boolean;
  /** Number of endpoints that received the request. */
  readonly sends: number;
  readonly maxSends: number;
  /** Number of endpoints that may have run it. */
  readonly runs: number;
  readonly maxRuns: number;
  /** Whether it may run more than once. */
  readonly isRetryable: boolean;
  /** Whether the retry budget allows another send. */
  readonly hasRetryBudget: boolean;
}

export type RelayDecision =
  | {
      readonly type: 'relay';
      /** Whether the send by the peer counts as a retry. */
      readonly isRetry: boolean;
    }
  | { readonly type: 'end' };

/**
 * Decides whether a request that this node can't send to an endpoint goes through a peer. What endpoints have received
 * counts as for a send by this node.
 *
 * @example
 * const decision = decideRelay(input);
 * if (decision.type === 'relay') await passOn();
 */
export const decideRelay = (input: RelayInput): RelayDecision => {
  const { isRelayed, hasResponseStarted, sends, maxSends, runs, maxRuns, isRetryable } = input;
  if (isRelayed || hasResponseStarted) return { type: 'end' };
  if (sends === 0) return { type: 'relay', isRetry: false };
  if (sends >= maxSends || !input.hasRetryBudget) return { type: 'end' };
  if (runs > 0 && (!isRetryable || runs >= maxRuns)) return { type: 'end' };
  return { type: 'relay', isRetry: true };
};
