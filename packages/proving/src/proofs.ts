import type { ProofCase } from './proofCase.js';

/** All cases of `npm run prove`, by promise. */
export const PROOFS: readonly ProofCase[] = [];
