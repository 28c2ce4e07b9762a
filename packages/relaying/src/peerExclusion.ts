import type { Random } from '@lovagearch/common';
import { EXCLUSION_JITTER_SHARE } from './constants.js';

/** Durations of the exclusions of a peer, in milliseconds. */
export interface ExclusionDurations {
  readonly firstMs: number;
  readonly longestMs: number;
}

/** The time in which a peer gets no requests; it doubles with each failure in a row. */
export class PeerExclusion {
  private untilMs = Number.NEGATIVE_INFINITY;

  private failures = 0;

  private constructor(private readonly durations: ExclusionDurations) {}

  static create(durations: ExclusionDurations): PeerExclusion {
    return new PeerExclusion(durations);
  }

  /** Whether the last result was a failure. */
  get hasFailed(): boolean {
    return this.failures > 0;
  }

  /** Clock reading at which the exclusion ends. */
  get endMs(): number {
    return this.untilMs;
  }

  isActive(nowMs: number): boolean {
    return nowMs < this.untilMs;
  }

  recordFailure(nowMs: number, random: Random): void {
    // Requests that were in flight together count as one failure.
    if (this.isActive(nowMs)) return;
    const { firstMs, longestMs } = this.durations;
    const durationMs = Math.min(longestMs, firstMs * 2 ** Math.min(this.failures, 10));
    this.failures += 1;
    this.untilMs = nowMs + durationMs * (1 + random() * EXCLUSION_JITTER_SHARE);
  }

  clear(): void {
    this.failures = 0;
    this.untilMs = Number.NEGATIVE_INFINITY;
  }
}
