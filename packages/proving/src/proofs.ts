import type { ProofCase } from './proofCase.js';
import { CACHE_PROOFS } from './proofsCache.js';
import { CONFIGURATION_PROOFS } from './proofsConfiguration.js';
import { CONTAINMENT_PROOFS } from './proofsContainment.js';
import { LEAVING_PROOFS } from './proofsLeaving.js';
import { PROOFS_ORDERS } from './proofsOrders.js';
import { RUN_PROOFS } from './proofsRuns.js';
import { SHUTDOWN_PROOFS } from './proofsShutdown.js';
import { SILENT_PROOFS } from './proofsSilent.js';
import { STREAM_PROOFS } from './proofsStreams.js';

/** All cases of `npm run prove`, by promise. */
export const PROOFS: readonly ProofCase[] = [
  ...CACHE_PROOFS,
  ...STREAM_PROOFS,
  ...RUN_PROOFS,
  ...CONFIGURATION_PROOFS,
  ...CONTAINMENT_PROOFS,
  ...LEAVING_PROOFS,
  ...SHUTDOWN_PROOFS,
  ...SILENT_PROOFS,
  ...PROOFS_ORDERS,
];
