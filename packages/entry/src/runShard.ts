import {
  assertNever,
  getErrorMessage,
  type AttemptId,
  type Clock,
  type Logger,
  type NodeId,
} from '@lovagearch/common';
import type { ObjectClient } from '@lovagearch/platform-client';
import {
  computeRecordBytes,
  getRunId,
  PendingBatch,
  runRecordSchema,
  WriteRateLimiter,
  type BeginDecision,
  type RunRecord,
  type Segment,
} from '@lovagearch/runs';
import type { BeginMessage, BeginReply, EndReply } from './runMessages.js';
import type { HolderState } from './runHolderCheck.js';
import { removeExpiredOutcomes } from './runShardExpiry.js';
import {
  createEmptyShard,
  loadShard,
  readSegmentRow,
  writeSegment,
  type LoadedShard,
  type ShardContext,
} from './runShardReader.js';
import { ReopenBackoff } from './reopenBackoff.js';

type BegunRecord = BeginMessage['record'];
type EndRecord = Exclude<RunRecord, { type: 'begun' }>;

interface PendingRecord {
  readonly record: RunRecord;
  readonly resolve: (isDurable: boolean) => void;
}

export interface RunShardOptions extends ShardContext {
  readonly objects: ObjectClient;
  readonly clock: Clock;
  readonly log: Logger;
  readonly findHolderState: (holder: NodeId, attempt: AttemptId) => Promise<HolderState>;
  /** Invokes the callback once after a delay; returns a function that cancels it. */
  readonly schedule: (callback: () => void, delayMs: number) => () => void;
}

/**
 * One shard of the run log on the node that owns it. A run is granted only after its `begun` record
 * is durable. After a write that failed or whose outcome is unknown, the shard closes and reads its
 * log again before it makes further decisions.
 */
export class RunShard {
  private loaded: LoadedShard;

  private state: 'closed' | 'open' | 'stopped' = 'closed';

  private activeOpening: Promise<boolean> | undefined;

  private reopenAtMs = -Infinity;

  private readonly reopenPause = ReopenBackoff.create();

  private lastWriteMs = 0;

  private readonly writeRateLimiter = WriteRateLimiter.create();

  private readonly pendingBatch = PendingBatch.create<PendingRecord>();

  /** Begins whose record is not durable yet, by run id; bounded by the pending batch. */
  private readonly pendingBegins = new Map<
    string,
    { record: BegunRecord; reply: Promise<BeginReply> }
  >();

  private cancelFlush: (() => void) | undefined;

  private activeWrite: Promise<void> | undefined;

  private constructor(private readonly options: RunShardOptions) {
    this.loaded = createEmptyShard(options.shards);
  }

  static create(options: RunShardOptions): RunShard {
    return new RunShard(options);
  }

  /** Replies to a begin; `granted` is returned only after the record is durable. */
  async handleBegin(record: BegunRecord): Promise<BeginReply> {
    const isOpen = await this.ensureOpen();
    const waiting = this.pendingBegins.get(getRunId(record));
    if (waiting !== undefined) {
      if (waiting.record.attempt === record.attempt) return waiting.reply;
      const isSame = waiting.record.bodyHash === record.bodyHash;
      return { type: isSame ? 'in_progress' : 'key_reused' };
    }
    const decision = this.loaded.state.getBeginDecision(record);
    if (!isOpen && (decision.type === 'grant' || decision.type === 'granted_before')) {
      return { type: 'unavailable' };
    }
    return this.applyDecision(record, decision);
  }

  /** Records the end of an attempt, which only its holder may end. */
  async handleEnd(record: EndRecord, from: NodeId): Promise<EndReply> {
    if (!(await this.ensureOpen())) return { type: 'unavailable' };
    const { state } = this.loaded;
    if (state.getAttempt(record) === record.attempt) {
      if (state.hasEnded(record)) return { type: 'recorded' };
      if (!state.isHolder(record, from)) return { type: 'not_holder' };
    } else if (record.type === 'finished' || !state.isFree(record)) {
      return { type: 'not_holder' };
    }
    // Also records the release of an attempt whose begin has not arrived: the begin may be delayed.
    return { type: (await this.append(record)) ? 'recorded' : 'unavailable' };
  }

  /** Writes the pending records and stops, so that the next owner can take over. */
  async stop(): Promise<void> {
    if (this.state === 'stopped') return;
    await this.activeOpening;
    while (
      this.state === 'open' &&
      (this.pendingBatch.size > 0 || this.activeWrite !== undefined)
    ) {
      this.flush();
      await this.activeWrite;
    }
    this.close('stopped');
  }

  private async applyDecision(record: BegunRecord, decision: BeginDecision): Promise<BeginReply> {
    switch (decision.type) {
      case 'grant':
        return this.writeBegun(record);
      case 'granted_before':
        return this.loaded.state.isHolder(record, record.holder)
          ? { type: 'granted' }
          : { type: 'in_progress' };
      case 'recorded_in_row':
        return this.readRecordedResponse(record, decision.sequence);
      case 'in_progress':
        return this.checkHolder(record, decision);
      case 'recorded':
      case 'unknown':
      case 'key_reused':
      case 'attempt_over':
      case 'full':
        return decision;
      default:
        return assertNever(decision);
    }
  }

  /** Distinguishes a run that is still in progress from one that its holder can no longer end. */
  private async checkHolder(
    record: BegunRecord,
    { attempt, holder }: Extract<BeginDecision, { type: 'in_progress' }>,
  ): Promise<BeginReply> {
    if ((await this.options.findHolderState(holder, attempt)) !== 'gone') {
      return { type: 'in_progress' };
    }
    // The end may have been recorded during the request to the holder.
    const now = this.loaded.state.getBeginDecision(record);
    if (now.type === 'in_progress' && now.attempt === attempt) return { type: 'unknown' };
    return now.type === 'recorded' || now.type === 'unknown' ? now : { type: 'in_progress' };
  }

  private async writeBegun(record: BegunRecord): Promise<BeginReply> {
    const runId = getRunId(record);
    const reply = this.append(record).then<BeginReply>((isDurable) => {
      this.pendingBegins.delete(runId);
      if (!isDurable) return { type: 'unavailable' };
      // The same segment may contain a release of this attempt.
      const isHeld = this.loaded.state.isHolder(record, record.holder);
      return { type: isHeld ? 'granted' : 'attempt_over' };
    });
    this.pendingBegins.set(runId, { record, reply });
    return reply;
  }

  private async readRecordedResponse(record: BegunRecord, sequence: number): Promise<BeginReply> {
    const segment = await readSegmentRow(this.options, sequence);
    for (const stored of segment?.records ?? []) {
      if (stored.type === 'finished' && getRunId(stored) === getRunId(record)) {
        return { type: 'recorded', response: stored.response };
      }
    }
    return { type: 'recorded_unreadable' };
  }

  private async ensureOpen(): Promise<boolean> {
    if (this.state !== 'closed') return this.state === 'open';
    if (this.activeOpening === undefined) {
      if (this.options.clock.nowMs() < this.reopenAtMs) return false;
      this.activeOpening = this.loadAndTakeOver().finally(() => {
        this.activeOpening = undefined;
      });
    }
    return this.activeOpening;
  }

  private async loadAndTakeOver(): Promise<boolean> {
    const { clock, log, shard } = this.options;
    // A write in progress could otherwise apply its records after the log is read.
    await this.activeWrite;
    this.writeRateLimiter.recordWrite(clock.nowMs());
    const loaded = await loadShard(this.options, this.loaded);
    this.lastWriteMs = clock.nowMs();
    if (loaded.isErr()) {
      log.warn(`Run shard ${shard} could not be opened: ${loaded.error.type}.`);
      this.reopenAtMs = this.reopenPause.recordFailure(clock.nowMs());
      return false;
    }
    this.loaded = loaded.value;
    this.reopenPause.recordOpening(clock.nowMs());
    if (this.state === 'closed') this.state = 'open';
    return this.state === 'open';
  }

  private async append(record: RunRecord): Promise<boolean> {
    if (this.state !== 'open') return false;
    // An invalid record, whichever node sent it, would prevent the next owner from reading the log.
    if (!runRecordSchema.safeParse(record).success) return false;
    return new Promise<boolean>((resolve) => {
      if (this.pendingBatch.add({ record, resolve }, computeRecordBytes(record)))
        this.scheduleFlush();
      else resolve(false);
    });
  }

  private scheduleFlush(): void {
    if (this.cancelFlush !== undefined || this.activeWrite !== undefined) return;
    const delayMs = this.writeRateLimiter.computeDelayMs(this.options.clock.nowMs());
    this.cancelFlush = this.options.schedule(() => this.flush(), delayMs);
  }

  private flush(): void {
    this.cancelFlush?.();
    this.cancelFlush = undefined;
    if (this.activeWrite !== undefined || this.state !== 'open' || this.pendingBatch.size === 0)
      return;
    const items = this.pendingBatch.takeSegment();
    this.activeWrite = this.writeBatch(items);
  }

  private async writeBatch(items: readonly PendingRecord[]): Promise<void> {
    try {
      await this.writeItems(items);
    } catch (error) {
      this.options.log.error(
        'Writing a run log segment threw an exception:',
        getErrorMessage(error),
      );
      for (const { resolve } of items) resolve(false);
      this.close('closed');
    } finally {
      this.activeWrite = undefined;
      if (this.pendingBatch.size > 0) this.scheduleFlush();
    }
  }

  private async writeItems(items: readonly PendingRecord[]): Promise<void> {
    const { clock, log, shard, shards, self } = this.options;
    const { shardLog, state } = this.loaded;
    const nowMs = clock.nowMs();
    this.writeRateLimiter.recordWrite(nowMs);
    const segment: Segment = {
      type: 'records',
      owner: self,
      shards,
      elapsedMs: Math.max(0, nowMs - this.lastWriteMs),
      records: items.map(({ record }) => record),
    };
    const sequence = shardLog.nextSequence;
    const outcome = await writeSegment(this.options, sequence, segment);
    if (outcome !== 'durable') {
      log.warn(`Run shard ${shard} is closed after a write with the outcome ${outcome}.`);
      for (const { resolve } of items) resolve(false);
      this.close('closed');
      this.reopenAtMs = this.reopenPause.recordLoss(clock.nowMs());
      return;
    }
    this.lastWriteMs = nowMs;
    shardLog.addSegment(sequence, segment);
    for (const { record } of items) state.applyRecord(record, sequence);
    for (const { resolve } of items) resolve(true);
    await removeExpiredOutcomes(this.options, this.loaded, clock.nowMs() - this.lastWriteMs);
  }

  private close(next: 'closed' | 'stopped'): void {
    if (this.state !== 'stopped') this.state = next;
    this.cancelFlush?.();
    this.cancelFlush = undefined;
    for (const { resolve } of this.pendingBatch.takeAll()) resolve(false);
  }
}
