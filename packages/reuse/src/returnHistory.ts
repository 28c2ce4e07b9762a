import { BoundedMap } from '@lovagearch/common';
import { DEFAULT_RETURN_CHANCE, RETURN_PRIOR_WEIGHT } from './constants.js';

/** Accounts whose history is kept; above the 240 of the size to design for. */
const MAX_ACCOUNTS = 1_024;

interface AccountHistory {
  readonly prefixes: number;
  readonly returns: number;
}

/** Estimates how likely the prefixes of an account are to be used again. */
export class ReturnHistory {
  private constructor(private readonly byAccount: BoundedMap<string, AccountHistory>) {}

  static create(): ReturnHistory {
    return new ReturnHistory(BoundedMap.create(MAX_ACCOUNTS));
  }

  /** Records a prefix that was seen for the first time. */
  recordPrefix(account: string): void {
    const known = this.getHistory(account);
    this.byAccount.set(account, { ...known, prefixes: known.prefixes + 1 });
  }

  /** Records that a known prefix was used again. */
  recordReturn(account: string): void {
    const known = this.getHistory(account);
    this.byAccount.set(account, { ...known, returns: known.returns + 1 });
  }

  /**
   * Returns the chance, from 0 to 1, that a prefix returns. A prefix that already returned is
   * more likely to do so again than one seen once.
   */
  getReturnChance(account: string, usesOfPrefix: number): number {
    const { prefixes, returns } = this.getHistory(account);
    const chance =
      (returns + DEFAULT_RETURN_CHANCE * RETURN_PRIOR_WEIGHT) /
      (prefixes + returns + RETURN_PRIOR_WEIGHT);
    return 1 - (1 - chance) ** Math.max(1, usesOfPrefix);
  }

  private getHistory(account: string): AccountHistory {
    return this.byAccount.peek(account) ?? { prefixes: 0, returns: 0 };
  }
}
