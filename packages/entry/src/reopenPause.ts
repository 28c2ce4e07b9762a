/** First pause after a failed opening or a lost shard. */
const FIRST_PAUSE_MS = 250;
/** Longest pause between two openings of a shard. */
const MAX_PAUSE_MS = 4_000;
/** Time for which a shard has to stay open for its earlier losses to be forgotten. */
const STABLE_MS = 10_000;

/**
 * Decides how long a node waits before it opens a run log shard again. While regions are parted,
 * each region has an owner for every shard, and owners that take a shard from each other without a
 * growing pause would use up the table's writes with takeover rows.
 *
 * @example
 * const pause = ReopenPause.create();
 * reopenAtMs = pause.recordLoss(clock.nowMs());
 */
export class ReopenPause {
  private failures = 0;

  /** Clock reading of the last opening, while the shard is open. */
  private openedAtMs: number | undefined;

  static create(): ReopenPause {
    return new ReopenPause();
  }

  /** Records that the shard was opened. */
  recordOpening(nowMs: number): void {
    this.openedAtMs = nowMs;
  }

  /** Records that the shard was lost and returns the time of the next opening. */
  recordLoss(nowMs: number): number {
    this.resetIfStable(nowMs);
    // A shard that was held for long is taken by its next owner; the first loss costs no pause.
    const pauseMs = this.failures === 0 ? 0 : this.computePauseMs();
    this.failures += 1;
    return nowMs + pauseMs;
  }

  /** Records that the shard could not be opened and returns the time of the next try. */
  recordFailure(nowMs: number): number {
    this.resetIfStable(nowMs);
    const pauseMs = this.computePauseMs();
    this.failures += 1;
    return nowMs + pauseMs;
  }

  private resetIfStable(nowMs: number): void {
    if (this.openedAtMs !== undefined && nowMs - this.openedAtMs >= STABLE_MS) this.failures = 0;
    this.openedAtMs = undefined;
  }

  private computePauseMs(): number {
    return Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** Math.max(0, this.failures - 1));
  }
}
