import type { ObjectClient } from '@lovagearch/platform-client';
import { getSegmentKey } from '@lovagearch/runs';
import type { LoadedShard, ShardContext } from './runShardReader.js';

/** Rows removed after one write. Two keep pace with the log and use few of the table's writes. */
const MAX_ROWS_PER_WRITE = 2;
/** Objects of expired responses removed after one write. */
const MAX_OBJECTS_PER_WRITE = 16;

/**
 * Removes expired outcomes from memory, their objects, and the oldest expired rows.
 *
 * @param sinceLastMs time since the shard's last segment on this node's clock
 */
export const removeExpiredRows = async (
  context: ShardContext & { readonly objects: ObjectClient },
  { shardLog, state }: LoadedShard,
  sinceLastMs: number,
): Promise<void> => {
  const objects = state.removeExpired(shardLog.getLastExpiredSequence(sinceLastMs));
  for (const name of objects.slice(0, MAX_OBJECTS_PER_WRITE)) {
    // A leftover object costs space only; the result is not needed.
    await context.objects.remove(name);
  }
  for (let count = 0; count < MAX_ROWS_PER_WRITE; count++) {
    const sequence = shardLog.getRemovableSequence(sinceLastMs);
    if (sequence === undefined) return;
    const removed = await context.table.remove(getSegmentKey(context.shard, sequence));
    if (removed.isErr()) return;
    shardLog.recordRemoval(sequence);
  }
};
