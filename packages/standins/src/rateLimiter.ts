import { type Clock, MS_PER_SECOND } from '@lovagearch/common';

/** A token bucket that holds one second's worth of calls. */
export class RateLimiter {
  private tokens: number;

  private lastMs: number;

  private constructor(
    private readonly perSecond: number,
    private readonly clock: Clock,
  ) {
    this.tokens = perSecond;
    this.lastMs = clock.nowMs();
  }

  static create(perSecond: number, clock: Clock): RateLimiter {
    return new RateLimiter(perSecond, clock);
  }

  /** Takes one call if the rate allows it. */
  tryTake(): boolean {
    const nowMs = this.clock.nowMs();
    const gained = ((nowMs - this.lastMs) * this.perSecond) / MS_PER_SECOND;
    this.tokens = Math.min(this.perSecond, this.tokens + gained);
    this.lastMs = nowMs;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
