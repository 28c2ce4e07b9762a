import type { ProofCase } from './proofCase.js';
import { STREAM_PROOFS } from './proofsStreams.js';

/** All cases of `npm run prove`, by promise. */
export const PROOFS: readonly ProofCase[] = [...STREAM_PROOFS];
