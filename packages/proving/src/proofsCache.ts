import { BLOCK_PROOFS } from './blockProofs.js';
import { ISOLATION_PROOFS } from './isolationProofs.js';
import type { ProofCase } from './proofCase.js';
import { WEIGHT_VERSION_PROOFS } from './weightVersionProofs.js';

/** Promises 1 to 3: cache blocks, isolation of accounts, weight versions. */
export const CACHE_PROOFS: readonly ProofCase[] = [
  ...BLOCK_PROOFS,
  ...ISOLATION_PROOFS,
  ...WEIGHT_VERSION_PROOFS,
];
