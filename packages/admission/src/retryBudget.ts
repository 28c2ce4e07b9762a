import {
  MAX_ACCUMULATED_RETRIES,
  MIN_RETRIES,
  RETRY_REFILL_MS,
  RETRIES_PER_REQUEST,
} from './constants.js';

/**
 * Limits retries to a tenth of the requests. A small minimum refills over 10 s, so that an account
 * with few requests can retry as well.
 */
export class RetryBudget {
  private constructor(
    private availableRetries: number,
    private updatedAtMs: number,
  ) {}

  static create(nowMs: number): RetryBudget {
    return new RetryBudget(MIN_RETRIES, nowMs);
  }

  /** Records a first attempt, which adds a tenth of a retry to the budget. */
  recordRequest(): void {
    this.availableRetries = Math.min(
      MAX_ACCUMULATED_RETRIES,
      this.availableRetries + RETRIES_PER_REQUEST,
    );
  }

  /** Returns whether at least one retry is available. */
  hasRetry(nowMs: number): boolean {
    this.refillMinimum(nowMs);
    return this.availableRetries >= 1;
  }

  /** Consumes one retry; returns false if none is available. */
  tryTake(nowMs: number): boolean {
    if (!this.hasRetry(nowMs)) return false;
    this.availableRetries -= 1;
    return true;
  }

  private refillMinimum(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    this.updatedAtMs = nowMs;
    if (this.availableRetries >= MIN_RETRIES) return;
    const added = (elapsedMs / RETRY_REFILL_MS) * MIN_RETRIES;
    this.availableRetries = Math.min(MIN_RETRIES, this.availableRetries + added);
  }
}

/** Consumes a retry from both budgets, or from neither. */
export const tryTakeBoth = (account: RetryBudget, system: RetryBudget, nowMs: number): boolean => {
  if (!account.hasRetry(nowMs) || !system.hasRetry(nowMs)) return false;
  return account.tryTake(nowMs) && system.tryTake(nowMs);
};
