import { createId, getRendezvousOwners, type AttemptId, type NodeId } from '@lovagearch/common';
import {
  createHead,
  encodeBundle,
  getBundleObjectName,
  HEAD_KEY,
  type ConfigurationBundle,
  type ConfigurationObjects,
  type ConfigurationTable,
} from '@lovagearch/configuration';

/**
 * Consecutive reads that must return an older head. A single stale read may be due to reordering.
 */
const MIN_STALE_READS = 2;
/**
 * Number of nodes that may restore the head. The conditional write lets only one of them succeed.
 */
const RESTORER_COUNT = 2;
/** Publisher recorded in a restored head. */
const RESTORER_PUBLISHER = 'restored by a node';

export type RestorationOutcome = 'conflict' | 'restored' | 'store_failed';

/** Whether this node should restore the head in a store that returns an older one. */
export const shouldRestoreHead = (
  staleReads: number,
  self: NodeId,
  peers: readonly NodeId[],
): boolean =>
  staleReads >= MIN_STALE_READS &&
  getRendezvousOwners(HEAD_KEY, [self, ...peers], RESTORER_COUNT).includes(self);

/**
 * Writes the active configuration back to a store that has lost it, for instance after a restore
 * from a backup. Otherwise, new publications would continue from the older head's revision, and all
 * nodes would reject them.
 *
 * @param ifVersion row version of the older head, for the conditional write
 */
export const restoreHead = async (
  table: ConfigurationTable,
  objects: ConfigurationObjects,
  bundle: ConfigurationBundle,
  ifVersion: number,
): Promise<RestorationOutcome> => {
  const head = createHead(bundle, RESTORER_PUBLISHER);
  const stored = await objects.write(getBundleObjectName(head.digest), encodeBundle(bundle));
  if (stored.isErr()) return 'store_failed';
  const written = await table.write(HEAD_KEY, head, ifVersion, createId<AttemptId>('restore'));
  if (written.isOk()) return 'restored';
  return written.error.type === 'conflict' ? 'conflict' : 'store_failed';
};
