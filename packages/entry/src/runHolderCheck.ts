import type { AttemptId, NodeId } from '@lovagearch/common';
import type { PeerMesh } from '@lovagearch/peering';
import { holdsMessageSchema, holdsReplySchema, RUN_TOPICS } from './runMessages.js';

/** Timeout of the check; below the 1.5 s that the requesting node waits for the shard owner. */
const HOLDER_CHECK_TIMEOUT_MS = 500;

export interface HolderCheckOptions {
  readonly mesh: PeerMesh;
  /** Returns whether a node is a member that is not dead; a draining node counts as present. */
  readonly isPresent: (node: NodeId) => boolean;
}

/** Whether the holder of an attempt can still record its outcome. */
export type HolderState = 'gone' | 'holds' | 'no_answer';

/** Registers the handler by which other nodes check whether this node still holds an attempt. */
export const registerHolderCheckHandler = (
  mesh: PeerMesh,
  isHolding: (attempt: AttemptId) => boolean,
): void =>
  mesh.registerHandler(RUN_TOPICS.holds, holdsMessageSchema, (_from, { attempt }) => ({
    isHeld: isHolding(attempt),
  }));

/**
 * Asks a node whether it still holds an attempt. Its presence alone does not prove this: a process
 * restarted under a fixed `nodeName` has the same id but none of the earlier attempts.
 *
 * @example
 * const state = await findHolderState(options, holder, attempt);
 */
export const findHolderState = async (
  { isPresent, mesh }: HolderCheckOptions,
  holder: NodeId,
  attempt: AttemptId,
): Promise<HolderState> => {
  if (!isPresent(holder)) return 'gone';
  const answer = await mesh.request(holder, RUN_TOPICS.holds, { attempt }, HOLDER_CHECK_TIMEOUT_MS);
  const reply = holdsReplySchema.safeParse(answer.unwrapOr(undefined));
  if (!reply.success) return 'no_answer';
  return reply.data.isHeld ? 'holds' : 'gone';
};
