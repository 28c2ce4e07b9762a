import { MAX_SAVED_RETRIES, MIN_RETRIES, RETRY_REFILL_MS, RETRY_SHARE } from './constants.js';

/**
 * Retries as a tenth of the requests, with a small minimum that fills again over 10 s so that a
 * quiet account can retry as well.
 */
export class RetryBudget {
  private constructor(
    private retries: number,
    private updatedMs: number,
  ) {}

  static create(nowMs: number): RetryBudget {
    return new RetryBudget(MIN_RETRIES, nowMs);
  }

  /** Records a first try, which earns a tenth of a retry. */
  recordRequest(): void {
    this.retries = Math.min(MAX_SAVED_RETRIES, this.retries + RETRY_SHARE);
  }

  /** Tells whether a retry may be taken. */
  hasRetry(nowMs: number): boolean {
    this.updateMinimum(nowMs);
    return this.retries >= 1;
  }

  /** Takes one retry. */
  tryTake(nowMs: number): boolean {
    if (!this.hasRetry(nowMs)) return false;
    this.retries -= 1;
    return true;
  }

  private updateMinimum(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    this.updatedMs = nowMs;
    if (this.retries >= MIN_RETRIES) return;
    const added = (elapsedMs / RETRY_REFILL_MS) * MIN_RETRIES;
    this.retries = Math.min(MIN_RETRIES, this.retries + added);
  }
}

/** Takes a retry from both budgets, or from neither. */
export const tryTakeBoth = (account: RetryBudget, system: RetryBudget, nowMs: number): boolean => {
  if (!account.hasRetry(nowMs) || !system.hasRetry(nowMs)) return false;
  return account.tryTake(nowMs) && system.tryTake(nowMs);
};
