import { createId, type AttemptId, type NodeId } from '@lovagearch/common';
import type { TableClient, TableError } from '@lovagearch/platform-client';
import {
  encodeSegment,
  getAppendOutcome,
  getSegmentKey,
  getShardPrefix,
  ShardLog,
  ShardState,
  type AppendOutcome,
  type RunLogError,
  type Segment,
  type WriteResult,
} from '@lovagearch/runs';
import { err, ok, type Result } from 'neverthrow';

/** Largest number of rows returned by one list call. */
const ROWS_PER_PAGE = 64;
/** Takeover attempts before giving up while another owner is still writing to the log. */
const MAX_TAKEOVER_ATTEMPTS = 4;

/**
 * Why a shard could not be loaded. `ownership_contested`: another node kept writing to the log
 * during the takeover.
 */
export type ShardError = RunLogError | TableError | { readonly type: 'ownership_contested' };

export interface ShardContext {
  readonly shard: number;
  readonly shards: number;
  readonly self: NodeId;
  readonly table: TableClient;
}

/** The log position of a shard and the run state computed from its records. */
export interface LoadedShard {
  readonly shardLog: ShardLog;
  readonly state: ShardState;
}

/** Creates the state of a shard before any row is read. */
export const createEmptyShard = (shards: number): LoadedShard => ({
  shardLog: ShardLog.create(shards),
  state: ShardState.create(),
});

const parseSequence = (context: ShardContext, key: string): number =>
  Number(key.slice(getShardPrefix(context.shard).length));

/** Reads and applies the rows after the last known one, up to the end of the log. */
const readNewRows = async (
  context: ShardContext,
  { shardLog, state }: LoadedShard,
): Promise<Result<void, ShardError>> => {
  const prefix = getShardPrefix(context.shard);
  let after: string | undefined = getSegmentKey(context.shard, shardLog.lastSequence);
  while (after !== undefined) {
    const page = await context.table.list(prefix, after, ROWS_PER_PAGE);
    if (page.isErr()) return err(page.error);
    for (const row of page.value.rows) {
      const sequence = parseSequence(context, row.key);
      const segment = shardLog.readRow(sequence, row.value);
      if (segment.isErr()) return err(segment.error);
      for (const record of segment.value.records) state.applyRecord(record, sequence);
    }
    after = page.value.next ?? undefined;
  }
  return ok(undefined);
};

/** Writes a segment as the row with a sequence number, provided that this row does not exist. */
export const writeSegment = async (
  context: ShardContext,
  sequence: number,
  segment: Segment,
): Promise<AppendOutcome> => {
  const attemptId = createId<AttemptId>('segment');
  const key = getSegmentKey(context.shard, sequence);
  const written = await context.table.write(key, encodeSegment(segment), 0, attemptId);
  const getWriteResult = (): WriteResult => {
    if (written.isOk()) return { type: 'written' };
    if (written.error.type !== 'conflict') return { type: 'unclear' };
    return { type: 'conflict', currentAttemptId: written.error.current?.attemptId ?? null };
  };
  return getAppendOutcome(getWriteResult(), attemptId);
};

const createTakeoverSegment = ({ self, shards }: ShardContext): Segment => ({
  type: 'takeover',
  owner: self,
  shards,
  elapsedMs: 0,
  records: [],
});

/**
 * Reads the log to its end and appends a takeover row. From then on, any write that an earlier owner
 * or this node still has in progress fails, because its sequence number is already used.
 *
 * @param known state from an earlier read; if rows after it have expired, the log is read from the
 *   start
 */
export const loadShard = async (
  context: ShardContext,
  known: LoadedShard,
): Promise<Result<LoadedShard, ShardError>> => {
  let loaded = known;
  for (let count = 0; count < MAX_TAKEOVER_ATTEMPTS; count++) {
    let read = await readNewRows(context, loaded);
    if (read.isErr() && read.error.type === 'gap' && loaded === known) {
      // Rows after the last known one have expired in the meantime.
      loaded = createEmptyShard(context.shards);
      read = await readNewRows(context, loaded);
    }
    if (read.isErr()) return err(read.error);
    const sequence = loaded.shardLog.nextSequence;
    const takeover = createTakeoverSegment(context);
    const outcome = await writeSegment(context, sequence, takeover);
    if (outcome === 'must_reopen') {
      return err({ type: 'outcome_unknown', message: 'the takeover row may or may not exist' });
    }
    if (outcome === 'durable') {
      loaded.shardLog.addSegment(sequence, takeover);
      return ok(loaded);
    }
  }
  return err({ type: 'ownership_contested' });
};

/** Reads the segment of one row, for a response that is no longer in memory. */
export const readSegmentRow = async (
  context: ShardContext,
  sequence: number,
): Promise<Segment | undefined> => {
  const row = await context.table.read(getSegmentKey(context.shard, sequence));
  if (row.isErr() || row.value === null) return undefined;
  const shardLog = ShardLog.create(context.shards);
  return shardLog.readRow(sequence, row.value.value).unwrapOr(undefined);
};
