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

/** Reads in a row that must show an older head: one alone may have been overtaken on its way. */
const MIN_OLDER_READS = 2;
/** Nodes that may restore the head; the conditional write admits one of them. */
const RESTORER_COUNT = 2;
/** Publisher of a head that a node wrote back. */
const RESTORER_NAME = 'restored by a node';

/** What became of an attempt to write a head back. */
export type RestorationOutcome = 'conflict' | 'restored' | 'store_failed';

/** Tells whether this node should write back the head of a store that came back with an older one. */
export const shouldRestoreHead = (
  olderReads: number,
  self: NodeId,
  peers: readonly NodeId[],
): boolean =>
  olderReads >= MIN_OLDER_READS &&
  getRendezvousOwners(HEAD_KEY, [self, ...peers], RESTORER_COUNT).includes(self);

/**
 * Writes the configuration in force back to a store that lost it, for instance after a restore from a
 * backup. Without it, later publications would count up from the older head and be refused by all
 * nodes.
 *
 * @param ifVersion version of the older head's row
 */
export const restoreHead = async (
  table: ConfigurationTable,
  objects: ConfigurationObjects,
  bundle: ConfigurationBundle,
  ifVersion: number,
): Promise<RestorationOutcome> => {
  const head = createHead(bundle, RESTORER_NAME);
  const stored = await objects.write(getBundleObjectName(head.digest), encodeBundle(bundle));
  if (stored.isErr()) return 'store_failed';
  const written = await table.write(HEAD_KEY, head, ifVersion, createId<AttemptId>('restore'));
  if (written.isOk()) return 'restored';
  return written.error.type === 'conflict' ? 'conflict' : 'store_failed';
};
