import { MS_PER_SECOND } from '@lovagearch/common';
import { BURST_SECONDS } from './constants.js';

/**
 * Token bucket rate limiter that allows short bursts. A request larger than the burst capacity passes
 * when the bucket is full and leaves a negative balance: it is delayed, but never refused for good.
 */
export class TokenBucket {
  private constructor(
    private tokensPerSecond: number,
    private tokens: number,
    private updatedAtMs: number,
  ) {}

  /** Creates a full bucket. */
  static create(ratePerSecond: number, nowMs: number): TokenBucket {
    return new TokenBucket(ratePerSecond, ratePerSecond * BURST_SECONDS, nowMs);
  }

  /** Changes the refill rate; tokens above the new burst capacity are dropped. */
  updateRate(ratePerSecond: number, nowMs: number): void {
    this.refill(nowMs);
    this.tokensPerSecond = ratePerSecond;
    this.tokens = Math.min(this.tokens, ratePerSecond * BURST_SECONDS);
  }

  /** Consumes tokens; returns false if the amount is not available yet. */
  tryTake(amount: number, nowMs: number): boolean {
    this.refill(nowMs);
    if (this.computeWaitMs(amount, nowMs) > 0) return false;
    this.tokens -= amount;
    return true;
  }

  /** Computes the time until an amount can be consumed, in milliseconds. */
  computeWaitMs(amount: number, nowMs: number): number {
    this.refill(nowMs);
    const needed = Math.min(amount, this.tokensPerSecond * BURST_SECONDS) - this.tokens;
    if (needed <= 0) return 0;
    return this.tokensPerSecond > 0 ? (needed / this.tokensPerSecond) * MS_PER_SECOND : Infinity;
  }

  private refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    const added = (elapsedMs / MS_PER_SECOND) * this.tokensPerSecond;
    this.tokens = Math.min(this.tokensPerSecond * BURST_SECONDS, this.tokens + added);
    this.updatedAtMs = Math.max(nowMs, this.updatedAtMs);
  }
}
