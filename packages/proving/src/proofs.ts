import type { ProofCase } from './proofCase.js';
import { PROOFS_LEAVING } from './proofsLeaving.js';

/** All cases of `npm run prove`, by promise. */
export const PROOFS: readonly ProofCase[] = [...PROOFS_LEAVING];
