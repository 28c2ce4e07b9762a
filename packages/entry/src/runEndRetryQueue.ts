import { getErrorMessage, type AttemptId, type Logger } from '@lovagearch/common';

/**
 * Largest number of attempt ends that wait to be recorded. Further ones are dropped, and the
 * outcomes of their runs stay unknown.
 */
const MAX_PENDING_ENDS = 1_024;
/** Largest total size of the response bodies of the waiting ends. */
const MAX_PENDING_BODY_BYTES = 16 * 1024 * 1024;
/** Delay between two retry rounds. */
const RETRY_INTERVAL_MS = 2_000;
/** Largest number of ends that are recorded concurrently. */
const MAX_CONCURRENT_RETRIES = 32;
/** Retry rounds after which an end is dropped: 10 min if each attempt fails immediately. */
const MAX_RETRY_ROUNDS = 300;

interface PendingEnd {
  readonly tryRecord: () => Promise<boolean>;
  readonly bytes: number;
  readonly failedRounds: number;
}

/**
 * Retries in the background to record the ends of attempts. The number of waiting ends, their size
 * and the number of retries are bounded.
 */
export class RunEndRetryQueue {
  private readonly pendingEnds = new Map<AttemptId, PendingEnd>();

  private bytes = 0;

  private timer: NodeJS.Timeout | undefined;

  private currentRound: Promise<void> | undefined;

  private isStopped = false;

  private constructor(private readonly log: Logger) {}

  static create(log: Logger): RunEndRetryQueue {
    return new RunEndRetryQueue(log);
  }

  /**
   * Adds an end that could not be recorded yet.
   *
   * @param tryRecord records the end; resolves to true when no further retry is needed
   * @param bytes size of the response body that the end holds in memory
   */
  add(attempt: AttemptId, tryRecord: () => Promise<boolean>, bytes: number): void {
    this.remove(attempt);
    if (this.pendingEnds.size >= MAX_PENDING_ENDS || this.bytes + bytes > MAX_PENDING_BODY_BYTES) {
      this.log.warn('Dropped the end of a run: the retry queue is full.');
      return;
    }
    this.pendingEnds.set(attempt, { tryRecord, bytes, failedRounds: 0 });
    this.bytes += bytes;
    this.scheduleRetries(0);
  }

  /** Returns whether the end of an attempt still waits to be recorded. */
  has(attempt: AttemptId): boolean {
    return this.pendingEnds.has(attempt);
  }

  /** Retries each waiting end a last time and stops. */
  async stop(): Promise<void> {
    clearTimeout(this.timer);
    await this.currentRound;
    this.isStopped = true;
    clearTimeout(this.timer);
    await this.retryAll();
  }

  /** Tries once to record each waiting end. */
  async retryAll(): Promise<void> {
    const all = [...this.pendingEnds];
    for (let start = 0; start < all.length; start += MAX_CONCURRENT_RETRIES) {
      const batch = all.slice(start, start + MAX_CONCURRENT_RETRIES);
      await Promise.all(batch.map(async ([attempt, entry]) => this.retryEnd(attempt, entry)));
    }
  }

  private async retryEnd(attempt: AttemptId, entry: PendingEnd): Promise<void> {
    const isDone = await this.recordEnd(entry);
    // `add` may have replaced the entry in the meantime.
    if (this.pendingEnds.get(attempt) !== entry) return;
    if (isDone || entry.failedRounds + 1 >= MAX_RETRY_ROUNDS) this.remove(attempt);
    else this.pendingEnds.set(attempt, { ...entry, failedRounds: entry.failedRounds + 1 });
  }

  private async recordEnd(entry: PendingEnd): Promise<boolean> {
    try {
      return await entry.tryRecord();
    } catch (error) {
      this.log.warn('Recording the end of a run failed:', getErrorMessage(error));
      return false;
    }
  }

  private remove(attempt: AttemptId): void {
    this.bytes -= this.pendingEnds.get(attempt)?.bytes ?? 0;
    this.pendingEnds.delete(attempt);
  }

  private scheduleRetries(delayMs: number): void {
    if (this.timer !== undefined || this.isStopped || this.pendingEnds.size === 0) return;
    this.timer = setTimeout(() => {
      this.currentRound = this.retryAll().finally(() => {
        this.timer = undefined;
        this.scheduleRetries(RETRY_INTERVAL_MS);
      });
    }, delayMs);
  }
}
