import { getErrorMessage, type AttemptId, type Logger } from '@lovagearch/common';

/** Ends of attempts that wait to be recorded; further ones are dropped and stay unknown. */
const MAX_ENTRIES = 1_024;
/** Bytes of response bodies that wait. */
const MAX_BYTES = 16 * 1024 * 1024;
/** Pause between two rounds. */
const ROUND_MS = 2_000;
/** Ends that are recorded at the same time. */
const MAX_AT_ONCE = 32;
/** Rounds after which an end is given up: 10 min with prompt failures. */
const MAX_ROUNDS = 300;

interface Entry {
  readonly run: () => Promise<boolean>;
  readonly bytes: number;
  readonly rounds: number;
}

/** Repeats the recording of ended attempts until it succeeds, in the background and bounded. */
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
   * @param run records the end; true when nothing remains to be done
   * @param bytes memory that it holds
   */
  add(attempt: AttemptId, run: () => Promise<boolean>, bytes: number): void {
    this.remove(attempt);
    if (this.entries.size >= MAX_ENTRIES || this.bytes + bytes > MAX_BYTES) {
      this.log.warn('The end of a run was not recorded: too many wait already.');
      return;
    }
    this.entries.set(attempt, { run, bytes, rounds: 0 });
    this.bytes += bytes;
    this.scheduleRound(0);
  }

  /** Tells whether the end of an attempt still waits to be recorded. */
  has(attempt: AttemptId): boolean {
    return this.entries.has(attempt);
  }

  /** Makes a last round and stops. */
  async stop(): Promise<void> {
    clearTimeout(this.timer);
    await this.round;
    this.isStopped = true;
    clearTimeout(this.timer);
    await this.runRound();
  }

  /** Tries each waiting end once. */
  async runRound(): Promise<void> {
    const all = [...this.entries];
    for (let start = 0; start < all.length; start += MAX_AT_ONCE) {
      const some = all.slice(start, start + MAX_AT_ONCE);
      await Promise.all(some.map(async ([attempt, entry]) => this.runEntry(attempt, entry)));
    }
  }

  private async runEntry(attempt: AttemptId, entry: Entry): Promise<void> {
    const isDone = await this.isDone(entry);
    // The entry may have been replaced while it ran.
    if (this.entries.get(attempt) !== entry) return;
    if (isDone || entry.rounds + 1 >= MAX_ROUNDS) this.remove(attempt);
    else this.entries.set(attempt, { ...entry, rounds: entry.rounds + 1 });
  }

  private async isDone(entry: Entry): Promise<boolean> {
    try {
      return await entry.run();
    } catch (error) {
      this.log.warn('The end of a run was not recorded:', getErrorMessage(error));
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
