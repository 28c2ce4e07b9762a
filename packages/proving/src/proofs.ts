import type { ProofCase } from './proofCase.js';
import { PROOFS_LEAVING } from './proofsLeaving.js';
import { PROOFS_ORDERS } from './proofsOrders.js';
import { RUN_PROOFS } from './proofsRuns.js';
import { PROOFS_SHUTDOWN } from './proofsShutdown.js';
import { PROOFS_SILENT } from './proofsSilent.js';

/** All cases of `npm run prove`, by promise. */
export const PROOFS: readonly ProofCase[] = [
  ...RUN_PROOFS,
  ...PROOFS_LEAVING,
  ...PROOFS_SHUTDOWN,
  ...PROOFS_SILENT,
  ...PROOFS_ORDERS,
];
