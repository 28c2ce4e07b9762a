import { BoundedMap } from '@lovagearch/common';
import { DEFAULT_REUSE_PROBABILITY, REUSE_PRIOR_WEIGHT } from './constants.js';

/** Accounts whose history is kept; above the 240 of the size to design for. */
const MAX_ACCOUNTS = 1_024;

interface AccountHistory {
  readonly prefixes: number;
  readonly reuses: number;
}

/** Estimates how likely the prefixes of an account are to be used again. */
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
   * Returns the chance, from 0 to 1, that a prefix returns. A prefix that already returned is
   * more likely to do so again than one seen once.
   */
  computeReuseProbability(account: string, usesOfPrefix: number): number {
    const { prefixes, reuses: returns } = this.getHistory(account);
    const chance =
      (returns + DEFAULT_REUSE_PROBABILITY * REUSE_PRIOR_WEIGHT) /
      (prefixes + returns + REUSE_PRIOR_WEIGHT);
    return 1 - (1 - chance) ** Math.max(1, usesOfPrefix);
  }

  private getHistory(account: string): AccountHistory {
    return this.byAccount.peek(account) ?? { prefixes: 0, reuses: 0 };
  }
}
