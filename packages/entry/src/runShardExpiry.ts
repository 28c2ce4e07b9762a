import type { ObjectClient } from '@lovagearch/platform-client';
import { getSegmentKey } from '@lovagearch/runs';
import type { LoadedShard, ShardContext } from './runShardReader.js';

/**
 * Largest number of rows removed after each segment write. Two rows per write remove rows faster
 * than the log adds them and take only a small part of the table's write capacity.
 */
const MAX_ROWS_REMOVED_PER_WRITE = 2;
/** Largest number of response objects removed after each segment write. */
const MAX_OBJECTS_REMOVED_PER_WRITE = 16;

/**
 * Removes expired outcomes from memory, together with their response objects and the oldest expired
 * rows.
 *
 * @param elapsedSinceWriteMs time since the shard's last segment write, by this node's clock
 */
export const removeExpiredOutcomes = async (
  context: ShardContext & { readonly objects: ObjectClient },
  { shardLog, state }: LoadedShard,
  elapsedSinceWriteMs: number,
): Promise<void> => {
  const objects = state.removeExpired(shardLog.getLastExpiredSequence(elapsedSinceWriteMs));
  for (const name of objects.slice(0, MAX_OBJECTS_REMOVED_PER_WRITE)) {
    // Errors are ignored: an object that is left over only takes up space.
    await context.objects.remove(name);
  }
  for (let count = 0; count < MAX_ROWS_REMOVED_PER_WRITE; count++) {
    const sequence = shardLog.getRemovableSequence(elapsedSinceWriteMs);
    if (sequence === undefined) return;
    const removed = await context.table.remove(getSegmentKey(context.shard, sequence));
    if (removed.isErr()) return;
    shardLog.recordRemoval(sequence);
  }
};
