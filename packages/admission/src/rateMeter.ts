import { MS_PER_SECOND } from '@lovagearch/common';
import { RATE_TIME_CONSTANT_MS } from './constants.js';

/** Rate estimate with exponential decay and a time constant of 5 s. */
export class RateMeter {
  private amount = 0;

  private constructor(private updatedAtMs: number) {}

  static create(nowMs: number): RateMeter {
    return new RateMeter(nowMs);
  }

  add(amount: number, nowMs: number): void {
    this.applyDecay(nowMs);
    this.amount += amount;
  }

  /** Returns the rate in units per second. */
  getPerSecond(nowMs: number): number {
    this.applyDecay(nowMs);
    return (this.amount / RATE_TIME_CONSTANT_MS) * MS_PER_SECOND;
  }

  private applyDecay(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    this.amount *= Math.exp(-elapsedMs / RATE_TIME_CONSTANT_MS);
    this.updatedAtMs = nowMs;
  }
}
