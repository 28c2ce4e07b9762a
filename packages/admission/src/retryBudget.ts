import {
  MAX_ACCUMULATED_RETRIES,
  MIN_RETRIES,
  RETRY_REFILL_MS,
  RETRIES_PER_REQUEST,
} from './constants.js';

/**
 * Retries as a tenth of the requests, with a small minimum that fills again over 10 s so that a
 * quiet account can retry as well.
 */
export class RetryBudget {
  private constructor(
    private availableRetries: number,
    private updatedAtMs: number,
  ) {}

  static create(nowMs: number): RetryBudget {
    return new RetryBudget(MIN_RETRIES, nowMs);
  }

  /** Records a first try, which earns a tenth of a retry. */
  recordRequest(): void {
    this.availableRetries = Math.min(
      MAX_ACCUMULATED_RETRIES,
      this.availableRetries + RETRIES_PER_REQUEST,
    );
  }

  /** Tells whether a retry may be taken. */
  hasRetry(nowMs: number): boolean {
    this.refillMinimum(nowMs);
    return this.availableRetries >= 1;
  }

  /** Takes one retry. */
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

/** Takes a retry from both budgets, or from neither. */
export const tryTakeBoth = (account: RetryBudget, system: RetryBudget, nowMs: number): boolean => {
  if (!account.hasRetry(nowMs) || !system.hasRetry(nowMs)) return false;
  return account.tryTake(nowMs) && system.tryTake(nowMs);
};
