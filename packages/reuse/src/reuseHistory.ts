import { BoundedMap } from '@lovagearch/common';
import { DEFAULT_REUSE_PROBABILITY, REUSE_PRIOR_WEIGHT } from './constants.js';

/** Accounts whose history is kept; the system is designed for 240 accounts. */
const MAX_ACCOUNTS = 1_024;

interface AccountHistory {
  readonly prefixes: number;
  readonly reuses: number;
}

/** Estimates the probability that a prefix of an account is used again. */
export class ReuseHistory {
  private constructor(private readonly byAccount: BoundedMap<string, AccountHistory>) {}

  static create(): ReuseHistory {
    return new ReuseHistory(BoundedMap.create(MAX_ACCOUNTS));
  }

  /** Records a prefix that was seen for the first time. */
  recordPrefix(account: string): void {
    const known = this.getHistory(account);
    this.byAccount.set(account, { ...known, prefixes: known.prefixes + 1 });
  }

  /** Records that a known prefix was used again. */
  recordReuse(account: string): void {
    const known = this.getHistory(account);
    this.byAccount.set(account, { ...known, reuses: known.reuses + 1 });
  }

  /**
   * Computes the probability, from 0 to 1, that a prefix is used again. A prefix that was reused
   * before is more likely to be reused than one seen once.
   */
  computeReuseProbability(account: string, usesOfPrefix: number): number {
    const { prefixes, reuses: returns } = this.getHistory(account);
    const probability =
      (returns + DEFAULT_REUSE_PROBABILITY * REUSE_PRIOR_WEIGHT) /
      (prefixes + returns + REUSE_PRIOR_WEIGHT);
    return 1 - (1 - probability) ** Math.max(1, usesOfPrefix);
  }

  private getHistory(account: string): AccountHistory {
    return this.byAccount.peek(account) ?? { prefixes: 0, reuses: 0 };
  }
}
