import { MAX_VERIFIED_AT_ONCE, VERIFICATIONS_PER_S } from './constants.js';

const MS_PER_SECOND = 1_000;

/** Bounds the rate at which a node opens connections to endpoints that are only suspected to be out of reach. */
export class VerificationLimit {
  private available = MAX_VERIFIED_AT_ONCE;

  private updatedAtMs = Number.NEGATIVE_INFINITY;

  static create(): VerificationLimit {
    return new VerificationLimit();
  }

  canTake(nowMs: number): boolean {
    const elapsedMs = nowMs - this.updatedAtMs;
    const refilled = this.available + (elapsedMs * VERIFICATIONS_PER_S) / MS_PER_SECOND;
    this.available = Math.min(MAX_VERIFIED_AT_ONCE, refilled);
    this.updatedAtMs = nowMs;
    return this.available >= 1;
  }

  take(nowMs: number): void {
    if (this.canTake(nowMs)) this.available -= 1;
  }
}
