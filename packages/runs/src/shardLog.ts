import { err, ok, type Result } from 'neverthrow';
import {
  CHECKPOINT_INTERVAL_MS,
  MAX_TRACKED_TAKEOVERS,
  RETENTION_MS,
  TAKEOVER_RETENTION_MS,
} from './constants.js';
import { decodeSegment } from './segmentCodec.js';
import type { RunLogError, Segment } from './types.js';

/** Sequence numbers in row keys are padded to this length, so that key order is sequence order. */
const SEQUENCE_DIGITS = 12;

/** Returns the key prefix of a shard's rows. */
export const getShardPrefix = (shard: number): string => `runs/${shard}/`;

/** Returns the key of a segment's row. */
export const getSegmentKey = (shard: number, sequence: number): string =>
  `${getShardPrefix(shard)}${String(sequence).padStart(SEQUENCE_DIGITS, '0')}`;

/** Result of a segment's put-if-absent, as seen by the writer. */
export type WriteResult =
  | { readonly type: 'written' }
  | { readonly type: 'conflict'; readonly currentAttemptId: string | null }
  | { readonly type: 'unclear' };

/**
 * Outcome of an append. `must_reopen`: the row may exist or may still be written. To find out, the
 * owner has to read the log again and write a takeover row at the next sequence number.
 */
export type AppendOutcome = 'durable' | 'must_reopen' | 'ownership_lost';

/** Returns the outcome of a write with the given attempt id. */
export const getAppendOutcome = (result: WriteResult, attemptId: string): AppendOutcome => {
  if (result.type === 'written') return 'durable';
  if (result.type === 'unclear') return 'must_reopen';
  return result.currentAttemptId === attemptId ? 'durable' : 'ownership_lost';
};

/** Covers about one minute of segments; all up to `sequence` were written no later than `endMs`. */
interface AgeCheckpoint {
  readonly sequence: number;
  readonly startMs: number;
  readonly endMs: number;
}

/**
 * Sequence numbers and ages of one shard's log. Ages are sums of durations that the owners measured
 * on their own clocks. The time between an owner's last segment and the next takeover counts as
 * zero, so that an outcome is kept too long rather than not long enough.
 *
 * @example
 * const shardLog = ShardLog.create(8);
 * const segment = shardLog.readRow(1, row.value);
 */
export class ShardLog {
  /** Sequence number of the last known segment; 0 for an empty log. */
  lastSequence = 0;

  /** Time of the last segment, as the sum of all `elapsedMs`. */
  private lastSegmentMs = 0;

  private checkpoints: AgeCheckpoint[] = [];

  private takeovers: AgeCheckpoint[] = [];

  private nextRemovableSequence = 1;

  private hasRecordSegments = false;

  private constructor(private readonly shards: number) {}

  static create(shards: number): ShardLog {
    return new ShardLog(shards);
  }

  get nextSequence(): number {
    return this.lastSequence + 1;
  }

  /** Checks and adds a row read from the table. Rows have to be passed in sequence order. */
  readRow(sequence: number, value: unknown): Result<Segment, RunLogError> {
    return decodeSegment(value).andThen((segment) => {
      if (segment.shards !== this.shards) {
        return err({
          type: 'shard_count_changed' as const,
          expected: this.shards,
          found: segment.shards,
        });
      }
      // Expired rows are removed from the start of the log, except takeover rows, so there may be
      // gaps before the first row with records, but none after it.
      if (
        sequence <= this.lastSequence ||
        (this.hasRecordSegments && sequence !== this.nextSequence)
      ) {
        return err({ type: 'gap' as const, expected: this.nextSequence, found: sequence });
      }
      if (this.lastSequence === 0) this.nextRemovableSequence = sequence;
      this.addSegment(sequence, segment);
      return ok(segment);
    });
  }

  /** Adds a segment that was durably written at this sequence number. */
  addSegment(sequence: number, segment: Segment): void {
    this.lastSegmentMs += segment.elapsedMs;
    this.lastSequence = sequence;
    const checkpoint = { sequence, startMs: this.lastSegmentMs, endMs: this.lastSegmentMs };
    if (segment.type === 'takeover') {
      this.takeovers.push(checkpoint);
      if (this.takeovers.length > MAX_TRACKED_TAKEOVERS) this.takeovers.shift();
    } else this.hasRecordSegments = true;
    const last = this.checkpoints[this.checkpoints.length - 1];
    if (last !== undefined && checkpoint.endMs - last.startMs < CHECKPOINT_INTERVAL_MS) {
      this.checkpoints[this.checkpoints.length - 1] = { ...checkpoint, startMs: last.startMs };
    } else this.checkpoints.push(checkpoint);
  }

  /**
   * Returns the last sequence number whose outcomes are older than the retention time; 0 if none.
   *
   * @param sinceLastMs time since the last segment on the owner's clock
   */
  getLastExpiredSequence(sinceLastMs: number): number {
    const nowMs = this.lastSegmentMs + sinceLastMs;
    let expired = 0;
    for (const checkpoint of this.checkpoints) {
      if (nowMs - checkpoint.endMs < RETENTION_MS) break;
      expired = checkpoint.sequence;
    }
    return expired;
  }

  /**
   * Returns the sequence number of the next row to remove, if any. Rows are removed in sequence
   * order, and the same row is returned until `recordRemoval`, so that a failed removal leaves no
   * gap in the log.
   */
  getRemovableSequence(sinceLastMs: number): number | undefined {
    const takeoverSequences = new Set(this.takeovers.map(({ sequence }) => sequence));
    // The last row is never removed: the next owner would restart at sequence number 1 without it.
    const last = Math.min(this.getLastExpiredSequence(sinceLastMs), this.lastSequence - 1);
    while (takeoverSequences.has(this.nextRemovableSequence) && this.nextRemovableSequence <= last)
      this.nextRemovableSequence++;
    if (this.nextRemovableSequence <= last) return this.nextRemovableSequence;
    const [oldest] = this.takeovers;
    if (oldest === undefined || oldest.sequence >= this.nextRemovableSequence) return undefined;
    const ageMs = this.lastSegmentMs + sinceLastMs - oldest.endMs;
    return ageMs >= TAKEOVER_RETENTION_MS ? oldest.sequence : undefined;
  }

  /** Records that the row returned by `getRemovableSequence` was removed. */
  recordRemoval(sequence: number): void {
    this.takeovers = this.takeovers.filter((takeover) => takeover.sequence !== sequence);
    this.nextRemovableSequence = Math.max(this.nextRemovableSequence, sequence + 1);
    // The last checkpoint is kept, so that a log without new segments keeps its age.
    this.checkpoints = this.checkpoints.filter(
      (checkpoint, index) =>
        checkpoint.sequence >= this.nextRemovableSequence || index === this.checkpoints.length - 1,
    );
  }
}
