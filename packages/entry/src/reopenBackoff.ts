/** Initial delay after a failed attempt to open a shard, or after losing one repeatedly. */
const INITIAL_BACKOFF_MS = 250;
/** Longest delay between two attempts to open a shard. */
const MAX_BACKOFF_MS = 4_000;
/** Time for which a shard must stay open to reset the backoff. */
const STABLE_OPEN_MS = 10_000;

/**
 * Exponential backoff for reopening a run log shard. During a network partition, each region has
 * its own owner for every shard. Without backoff, owners that take a shard from each other would
 * use up the table's write capacity with takeover rows.
 *
 * @example
 * const backoff = ReopenBackoff.create();
 * reopenAtMs = backoff.recordLoss(clock.nowMs());
 */
export class ReopenBackoff {
  private failures = 0;

  /** Clock reading at which the shard was opened; undefined while it is closed. */
  private openedAtMs: number | undefined;

  static create(): ReopenBackoff {
    return new ReopenBackoff();
  }

  recordOpening(nowMs: number): void {
    this.openedAtMs = nowMs;
  }

  /** Records that the shard was lost and returns the earliest time to reopen it. */
  recordLoss(nowMs: number): number {
    this.resetIfStable(nowMs);
    // Without recent failures, a loss is a regular change of owner and causes no delay.
    const pauseMs = this.failures === 0 ? 0 : this.computeBackoffMs();
    this.failures += 1;
    return nowMs + pauseMs;
  }

  /** Records that opening the shard failed and returns the earliest time to retry. */
  recordFailure(nowMs: number): number {
    this.resetIfStable(nowMs);
    const pauseMs = this.computeBackoffMs();
    this.failures += 1;
    return nowMs + pauseMs;
  }

  private resetIfStable(nowMs: number): void {
    if (this.openedAtMs !== undefined && nowMs - this.openedAtMs >= STABLE_OPEN_MS)
      this.failures = 0;
    this.openedAtMs = undefined;
  }

  private computeBackoffMs(): number {
    return Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** Math.max(0, this.failures - 1));
  }
}
