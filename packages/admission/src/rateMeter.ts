import { MS_PER_SECOND } from '@lovagearch/common';
import { RATE_WINDOW_MS } from './constants.js';

/** A rate estimate that forgets with a time constant of 5 s. */
export class RateMeter {
  private amount = 0;

  private constructor(private updatedMs: number) {}

  static create(nowMs: number): RateMeter {
    return new RateMeter(nowMs);
  }

  add(amount: number, nowMs: number): void {
    this.updateAmount(nowMs);
    this.amount += amount;
  }

  /** Returns the rate in units a second. */
  getPerSecond(nowMs: number): number {
    this.updateAmount(nowMs);
    return (this.amount / RATE_WINDOW_MS) * MS_PER_SECOND;
  }

  private updateAmount(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    this.amount *= Math.exp(-elapsedMs / RATE_WINDOW_MS);
    this.updatedMs = nowMs;
  }
}
