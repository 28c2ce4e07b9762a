import { err, ok, type Result } from 'neverthrow';
import {
  CHECKPOINT_INTERVAL_MS,
  MAX_TRACKED_TAKEOVERS,
  RETENTION_MS,
  TAKEOVER_RETENTION_MS,
} from './constants.js';
import { decodeSegment } from './segmentCodec.js';
import type { RunLogError, Segment } from './types.js';

/** Digits of a sequence number in a row key, so that key order is sequence order. */
const SEQUENCE_DIGITS = 12;

/** Returns the prefix of the rows of a shard. */
export const getShardPrefix = (shard: number): string => `runs/${shard}/`;

/** Returns the key of a segment's row. */
export const getSegmentKey = (shard: number, sequence: number): string =>
  `${getShardPrefix(shard)}${String(sequence).padStart(SEQUENCE_DIGITS, '0')}`;

/** How a put-if-absent of a segment ended, as its writer saw it. */
export type WriteResult =
  | { readonly type: 'written' }
  | { readonly type: 'conflict'; readonly currentAttemptId: string | null }
  | { readonly type: 'unclear' };

/**
 * What a write's end means. `must_reopen`: the row may exist or may still appear; only reading the
 * log and a takeover row at the next sequence number settle it.
 */
export type AppendOutcome = 'durable' | 'must_reopen' | 'ownership_lost';

/** Reads a write's end against the attempt id that the write carried. */
export const getAppendOutcome = (result: WriteResult, attemptId: string): AppendOutcome => {
  if (result.type === 'written') return 'durable';
  if (result.type === 'unclear') return 'must_reopen';
  return result.currentAttemptId === attemptId ? 'durable' : 'ownership_lost';
};

/** Segments of about one minute. All up to `sequence` were written at `atMs` or before. */
interface AgeCheckpoint {
  readonly sequence: number;
  readonly startMs: number;
  readonly endMs: number;
}

/**
 * Sequence numbers and ages of one shard's log. Ages are sums of durations that the owners
 * measured on their own clocks. The time between an owner's last segment and the next takeover
 * counts as zero, so that an outcome is kept too long rather than too short.
 *
 * @example
 * const shardLog = ShardLog.create(8);
 * const segment = shardLog.readRow(1, row.value);
 */
export class ShardLog {
  /** Sequence of the last segment that is known; 0 for an empty log. */
  lastSequence = 0;

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

  /** Checks a row read from the table and adds it; rows come in sequence order. */
  readRow(sequence: number, value: unknown): Result<Segment, RunLogError> {
    return decodeSegment(value).andThen((segment) => {
      if (segment.shards !== this.shards) {
        return err({
          type: 'shard_count_changed' as const,
          expected: this.shards,
          found: segment.shards,
        });
      }
      // Expired rows are removed from the low end, except takeover rows; after the first row with
      // records nothing may be missing.
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

  /** Adds a segment that is durable at this sequence number. */
  addSegment(sequence: number, segment: Segment): void {
    this.lastSegmentMs += segment.elapsedMs;
    this.lastSequence = sequence;
    const mark = { sequence, startMs: this.lastSegmentMs, endMs: this.lastSegmentMs };
    if (segment.type === 'takeover') {
      this.takeovers.push(mark);
      if (this.takeovers.length > MAX_TRACKED_TAKEOVERS) this.takeovers.shift();
    } else this.hasRecordSegments = true;
    const last = this.checkpoints[this.checkpoints.length - 1];
    if (last !== undefined && mark.endMs - last.startMs < CHECKPOINT_INTERVAL_MS) {
      this.checkpoints[this.checkpoints.length - 1] = { ...mark, startMs: last.startMs };
    } else this.checkpoints.push(mark);
  }

  /**
   * Returns the last sequence whose outcomes are older than the retention time; 0 if none.
   *
   * @param sinceLastMs time since the last segment on the owner's clock
   */
  getLastExpiredSequence(sinceLastMs: number): number {
    const nowMs = this.lastSegmentMs + sinceLastMs;
    let expired = 0;
    for (const mark of this.checkpoints) {
      if (nowMs - mark.endMs < RETENTION_MS) break;
      expired = mark.sequence;
    }
    return expired;
  }

  /**
   * Returns the next row to remove, if any. Rows go in sequence order, and the next one is named
   * only after `recordRemoved`, so that a failed removal leaves no gap in the log.
   */
  getRemovableSequence(sinceLastMs: number): number | undefined {
    const kept = new Set(this.takeovers.map(({ sequence }) => sequence));
    // The last row stays: without it the next owner would begin again at sequence 1.
    const last = Math.min(this.getLastExpiredSequence(sinceLastMs), this.lastSequence - 1);
    while (kept.has(this.nextRemovableSequence) && this.nextRemovableSequence <= last)
      this.nextRemovableSequence++;
    if (this.nextRemovableSequence <= last) return this.nextRemovableSequence;
    const [oldest] = this.takeovers;
    if (oldest === undefined || oldest.sequence >= this.nextRemovableSequence) return undefined;
    const ageMs = this.lastSegmentMs + sinceLastMs - oldest.endMs;
    return ageMs >= TAKEOVER_RETENTION_MS ? oldest.sequence : undefined;
  }

  /** Records that the row named by `getRemovable` is gone. */
  recordRemoval(sequence: number): void {
    this.takeovers = this.takeovers.filter((takeover) => takeover.sequence !== sequence);
    this.nextRemovableSequence = Math.max(this.nextRemovableSequence, sequence + 1);
    // The last mark is kept, so that a log without new segments keeps its age.
    this.checkpoints = this.checkpoints.filter(
      (mark, index) =>
        mark.sequence >= this.nextRemovableSequence || index === this.checkpoints.length - 1,
    );
  }
}
