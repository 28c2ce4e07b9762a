import type { Clock } from '@lovagearch/common';
import { PAUSE_BACKLOG_MS } from './constants.js';

/**
 * Knows since when an endpoint may have been silent on one connection. Bytes, and the end of the connection, that are
 * read after a pause or after a delay of the event loop may have arrived at its beginning.
 */
export class ArrivalTimes {
  private lastReadMs: number;

  private receivedBytes = 0;

  private pausedSinceMs: number | undefined;

  private resumedAtMs: number | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly getReadDelayMs: () => number,
  ) {
    this.lastReadMs = clock.nowMs();
  }

  /** @param getReadDelayMs returns how late bytes that are read now may be read, in milliseconds */
  static create(clock: Clock, getReadDelayMs: () => number): ArrivalTimes {
    return new ArrivalTimes(clock, getReadDelayMs);
  }

  /** @param receivedBytes all bytes that the connection has received */
  recordRead(receivedBytes: number): void {
    if (receivedBytes === this.receivedBytes) return;
    this.receivedBytes = receivedBytes;
    this.lastReadMs = this.clock.nowMs() - this.getReadDelayMs();
  }

  /** Records that nothing is read from now on. */
  recordPause(): void {
    if (!this.hasBacklog()) this.pausedSinceMs = this.clock.nowMs();
    this.resumedAtMs = undefined;
  }

  recordResume(): void {
    if (this.pausedSinceMs !== undefined) this.resumedAtMs = this.clock.nowMs();
  }

  /** Returns the clock reading since which the endpoint may have sent nothing. */
  getSilentSinceMs(): number {
    return this.hasBacklog() && this.pausedSinceMs !== undefined
      ? Math.min(this.lastReadMs, this.pausedSinceMs)
      : this.lastReadMs;
  }

  /** Whether bytes that are read now may have arrived during a pause. */
  private hasBacklog(): boolean {
    if (this.pausedSinceMs === undefined) return false;
    return (
      this.resumedAtMs === undefined || this.clock.nowMs() - this.resumedAtMs < PAUSE_BACKLOG_MS
    );
  }
}
