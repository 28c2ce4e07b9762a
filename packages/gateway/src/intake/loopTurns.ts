/**
 * Times of the last turns of a busy event loop, each taken after the loop has read from its connections.
 *
 * @example
 * turns.recordTurn(clock.nowMs());
 * const arrivedAtMs = clock.nowMs() - turns.getReadDelayMs(clock.nowMs());
 */
export class LoopTurns {
  private lastMs: number | undefined;

  private beforeLastMs: number | undefined;

  static create(): LoopTurns {
    return new LoopTurns();
  }

  /** Records the end of a turn's reads, in milliseconds. */
  recordTurn(nowMs: number): void {
    this.beforeLastMs = this.lastMs;
    this.lastMs = nowMs;
  }

  /** Records that the loop waits for events, so that what arrives is read at once. */
  recordIdle(): void {
    this.lastMs = undefined;
    this.beforeLastMs = undefined;
  }

  /** Returns how long the bytes that are read now may have waited, in milliseconds: since the turn before. */
  getReadDelayMs(nowMs: number): number {
    const sinceMs = this.beforeLastMs ?? this.lastMs ?? nowMs;
    return Math.max(0, nowMs - sinceMs);
  }

  /** Returns the time since the end of the last turn's reads, in milliseconds; 0 after a wait for events. */
  getTurnMs(nowMs: number): number {
    return Math.max(0, nowMs - (this.lastMs ?? nowMs));
  }
}
