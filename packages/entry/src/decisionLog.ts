import type { CallerErrorType, Clock, Logger, RunState } from '@lovagearch/common';
import { DECISION_LOG_CAPACITY } from './callerConstants.js';
import { DecisionHistoryFile } from './decisionHistoryFile.js';
import { RingBuffer } from './ringBuffer.js';

/** A decision of the entry process about a request. Contains no prompts, responses or keys. */
export type Decision =
  | { readonly type: 'accepted'; readonly account: string; readonly service: string }
  | {
      readonly type: 'chosen';
      readonly endpoint: string;
      readonly streamId?: string;
      readonly estimatedTtftMs?: number;
      readonly estimatedRecomputedTokens?: number;
      readonly weightVersion?: string;
      /** Leading digits of the id of the segment that the runner may import, and its depth in blocks. */
      readonly segment?: { readonly tag: string; readonly depth: number };
      readonly reason: string;
    }
  | { readonly type: 'retried'; readonly endpoint: string; readonly reason: string }
  | {
      readonly type: 'resumed';
      readonly endpoint: string;
      readonly streamId: string;
      readonly afterSeq: number;
    }
  /** The request is planned again: its weight version was swapped, or no runner was ready. */
  | { readonly type: 'replanned'; readonly reason: string }
  | { readonly type: 'continued'; readonly endpoint: string; readonly offset: number }
  /** The complete generated text was verified; `tokens` is the total over all its streams. */
  | {
      readonly type: 'verified';
      readonly streamId: string;
      readonly tokens: number;
      readonly cachedTokens: number;
      readonly importedTokens: number;
    }
  | { readonly type: 'run_granted'; readonly attempt: string }
  | { readonly type: 'run_recorded' }
  | { readonly type: 'run_released'; readonly attempt: string }
  | { readonly type: 'run_abandoned'; readonly attempt: string }
  | { readonly type: 'sent'; readonly endpoint: string; readonly attempt?: string }
  | { readonly type: 'caller_left'; readonly reason: 'disconnected' | 'stalled' }
  | { readonly type: 'refused'; readonly error: CallerErrorType; readonly run: RunState }
  | { readonly type: 'completed'; readonly status: number; readonly detail: string };

export interface DecisionEntry {
  readonly requestId: string;
  /** Time on this process's clock; comparable only with entries of the same process. */
  readonly atMs: number;
  readonly decision: Decision;
}

/**
 * Keeps recent decisions and recent refusals, each in a ring buffer of fixed size.
 *
 * @example
 * decisions.record(requestId, { type: 'accepted', account: 'zamu', service: 'rota' });
 */
export class DecisionLog {
  private readonly entries: RingBuffer<DecisionEntry>;

  private readonly refusals: RingBuffer<DecisionEntry>;

  private constructor(
    private readonly clock: Clock,
    private readonly history: DecisionHistoryFile | undefined,
    capacity: number,
  ) {
    this.entries = RingBuffer.create<DecisionEntry>(capacity);
    this.refusals = RingBuffer.create<DecisionEntry>(capacity);
  }

  /** @param historyFile path of a file to which decisions are appended as JSON lines, if defined */
  static create(
    clock: Clock,
    log: Logger,
    historyFile?: string,
    capacity: number = DECISION_LOG_CAPACITY,
  ): DecisionLog {
    const history =
      historyFile === undefined ? undefined : DecisionHistoryFile.create(historyFile, log);
    return new DecisionLog(clock, history, capacity);
  }

  record(requestId: string, decision: Decision): void {
    const entry = { requestId, atMs: this.clock.nowMs(), decision };
    this.entries.add(entry);
    if (decision.type === 'refused') this.refusals.add(entry);
    this.history?.write(entry);
  }

  /** Returns the kept decisions of one request, or of all requests without an id; oldest first. */
  listDecisions(requestId?: string): DecisionEntry[] {
    const entries = this.entries.list();
    return requestId === undefined
      ? entries
      : entries.filter((entry) => entry.requestId === requestId);
  }

  listRefusals(): DecisionEntry[] {
    return this.refusals.list();
  }

  async close(): Promise<void> {
    await this.history?.close();
  }
}
