import type { AttemptId, NodeId } from '@lovagearch/common';
import type { PeerMesh } from '@lovagearch/peering';
import { holdsMessageSchema, holdsReplySchema, RUN_TOPICS } from './runMessages.js';

/** Time limit of the question; below the 1.5 s that the asking node waits for its own answer. */
const HOLDS_TIMEOUT_MS = 500;

export interface RunHoldersOptions {
  readonly mesh: PeerMesh;
  /** Tells whether a node is a member that is not dead; a draining node is present. */
  readonly isPresent: (node: NodeId) => boolean;
}

/** Whether an attempt may still end with a known outcome. */
export type HolderState = 'gone' | 'holds' | 'no_answer';

/** Registers the answer to the question whether this node still holds an attempt. */
export const registerHoldsHandler = (
  mesh: PeerMesh,
  isHolding: (attempt: AttemptId) => boolean,
): void =>
  mesh.registerHandler(RUN_TOPICS.holds, holdsMessageSchema, (_from, { attempt }) => ({
    isHeld: isHolding(attempt),
  }));

/**
 * Asks the holder of an attempt whether it still holds it. The node id alone does not tell: a
 * process that restarts under a fixed `nodeName` has the same id and none of the old attempts.
 *
 * @example
 * const state = await findHolderState(options, holder, attempt);
 */
export const findHolderState = async (
  { isPresent, mesh }: RunHoldersOptions,
  holder: NodeId,
  attempt: AttemptId,
): Promise<HolderState> => {
  if (!isPresent(holder)) return 'gone';
  const answer = await mesh.request(holder, RUN_TOPICS.holds, { attempt }, HOLDS_TIMEOUT_MS);
  const reply = holdsReplySchema.safeParse(answer.unwrapOr(undefined));
  if (!reply.success) return 'no_answer';
  return reply.data.isHeld ? 'holds' : 'gone';
};
