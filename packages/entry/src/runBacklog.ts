import { getErrorMessage, type AttemptId, type Logger } from '@lovagearch/common';

/**
 * Largest number of attempt ends that wait to be recorded. Further ones are dropped, and the
 * outcomes of their runs stay unknown.
 */
const MAX_ENTRIES = 1_024;
/** Largest total size of the response bodies of the waiting ends. */
const MAX_BYTES = 16 * 1024 * 1024;
/** Delay between two retry rounds. */
const ROUND_MS = 2_000;
/** Largest number of ends that are recorded concurrently. */
const MAX_AT_ONCE = 32;
/** Retry rounds after which an end is dropped: 10 min if each attempt fails immediately. */
const MAX_ROUNDS = 300;

interface Entry {
  readonly run: () => Promise<boolean>;
  readonly bytes: number;
  readonly rounds: number;
}

/**
 * Retries in the background to record the ends of attempts. The number of waiting ends, their size
 * and the number of retries are bounded.
 */
export class RunBacklog {
  private readonly entries = new Map<AttemptId, Entry>();

  private bytes = 0;

  private timer: NodeJS.Timeout | undefined;

  private round: Promise<void> | undefined;

  private isStopped = false;

  private constructor(private readonly log: Logger) {}

  static create(log: Logger): RunBacklog {
    return new RunBacklog(log);
  }

  /**
   * Adds an end that could not be recorded yet.
   *
   * @param tryRecord records the end; resolves to true when no further retry is needed
   * @param bytes size of the response body that the end holds in memory
   */
  add(attempt: AttemptId, run: () => Promise<boolean>, bytes: number): void {
    this.remove(attempt);
    if (this.entries.size >= MAX_ENTRIES || this.bytes + bytes > MAX_BYTES) {
      this.log.warn('Dropped the end of a run: the retry queue is full.');
      return;
    }
    this.entries.set(attempt, { run, bytes, rounds: 0 });
    this.bytes += bytes;
    this.scheduleRound(0);
  }

  /** Returns whether the end of an attempt still waits to be recorded. */
  has(attempt: AttemptId): boolean {
    return this.entries.has(attempt);
  }

  /** Retries each waiting end a last time and stops. */
  async stop(): Promise<void> {
    clearTimeout(this.timer);
    await this.round;
    this.isStopped = true;
    clearTimeout(this.timer);
    await this.runRound();
  }

  /** Tries once to record each waiting end. */
  async runRound(): Promise<void> {
    const all = [...this.entries];
    for (let start = 0; start < all.length; start += MAX_AT_ONCE) {
      const some = all.slice(start, start + MAX_AT_ONCE);
      await Promise.all(some.map(async ([attempt, entry]) => this.runEntry(attempt, entry)));
    }
  }

  private async runEntry(attempt: AttemptId, entry: Entry): Promise<void> {
    const isDone = await this.isDone(entry);
    // `add` may have replaced the entry in the meantime.
    if (this.entries.get(attempt) !== entry) return;
    if (isDone || entry.rounds + 1 >= MAX_ROUNDS) this.remove(attempt);
    else this.entries.set(attempt, { ...entry, rounds: entry.rounds + 1 });
  }

  private async isDone(entry: Entry): Promise<boolean> {
    try {
      return await entry.run();
    } catch (error) {
      this.log.warn('Recording the end of a run failed:', getErrorMessage(error));
      return false;
    }
  }

  private remove(attempt: AttemptId): void {
    this.bytes -= this.entries.get(attempt)?.bytes ?? 0;
    this.entries.delete(attempt);
  }

  private scheduleRound(delayMs: number): void {
    if (this.timer !== undefined || this.isStopped || this.entries.size === 0) return;
    this.timer = setTimeout(() => {
      this.round = this.runRound().finally(() => {
        this.timer = undefined;
        this.scheduleRound(ROUND_MS);
      });
    }, delayMs);
  }
}
