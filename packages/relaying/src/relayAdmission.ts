import {
  MAX_BODY_MEMORY_SHARE,
  MAX_EVENT_LOOP_DELAY_MS,
  MAX_RELAYED_REQUESTS,
} from './constants.js';

export interface RelayAdmissionInput {
  /** Requests of peers in progress at this node. */
  readonly relayedRequests: number;
  /** Share of the memory for bodies in use. */
  readonly bodyMemoryShare: number;
  readonly eventLoopDelayMs: number;
}

export type RelayAdmissionDecision =
  | { readonly type: 'take' }
  | { readonly type: 'reject'; readonly reason: 'event_loop' | 'memory' | 'requests' };

/**
 * Decides whether a node takes a request of a peer. Memory and processor are kept for its own callers; the room of the
 * endpoints is shared equally, as admission treats both alike.
 *
 * @example
 * const decision = decideRelayAdmission({ relayedRequests: 3, bodyMemoryShare: 0.1, eventLoopDelayMs: 2 });
 * if (decision.type === 'reject') return refuse(decision.reason);
 */
export const decideRelayAdmission = ({
  relayedRequests,
  bodyMemoryShare,
  eventLoopDelayMs,
}: RelayAdmissionInput): RelayAdmissionDecision => {
  if (relayedRequests >= MAX_RELAYED_REQUESTS) return { type: 'reject', reason: 'requests' };
  if (bodyMemoryShare > MAX_BODY_MEMORY_SHARE) return { type: 'reject', reason: 'memory' };
  if (eventLoopDelayMs > MAX_EVENT_LOOP_DELAY_MS) return { type: 'reject', reason: 'event_loop' };
  return { type: 'take' };
};
