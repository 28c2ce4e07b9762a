import type { Random } from '@lovagearch/common';

/** Number of a promise in docs/promises.md, or the section on requests that crash endpoints. */
export type PromiseNumber = 1 | 2 | 3 | 4 | 5 | 6 | 7 | 8 | 9 | 'containment';

export interface ProofContext {
  readonly seed: number;
  readonly random: Random;
}

/** One promise under one or more faults. */
export interface ProofCase {
  /** Unique name in kebab-case. */
  readonly name: string;
  readonly promise: PromiseNumber;
  /** Faults that the case injects, in words. */
  readonly faults: readonly string[];
  /** Whether the case is part of the shortest set that `npm test` runs. */
  readonly isInTests: boolean;
  /**
   * Runs the case against real processes.
   *
   * @returns what was seen, in a few words
   * @throws ProofError when the promise did not hold
   */
  readonly run: (context: ProofContext) => Promise<string>;
}

/** A promise did not hold. */
export class ProofError extends Error {
  override readonly name = 'ProofError';
}

/** Fails the case unless a condition holds. */
export const assertProof = (condition: boolean, message: string): void => {
  if (!condition) throw new ProofError(message);
};
