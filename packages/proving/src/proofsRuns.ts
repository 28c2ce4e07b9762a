import type { ProofCase, PromiseNumber } from './proofCase.js';
import {
  connectionSilent,
  dropAfterRun,
  entriesReplaced,
  holderFrozen,
  ownerKilled,
  serviceKilled,
  slowTable,
  tableErrorAfterEffect,
  tableLostAnswers,
  tableOutage,
} from './runFaults.js';
import { runRunProof, type RunFault } from './runProof.js';

const createCase = (
  name: string,
  promise: PromiseNumber,
  faults: readonly RunFault[],
  isInTests = false,
): ProofCase => ({
  name,
  promise,
  faults: faults.map((fault) => fault.name),
  isInTests,
  run: async (context) => runRunProof(context, faults),
});

/**
 * Invariants 5 and 6: a refusal with `not_run` is true, and a non-idempotent call runs at most once.
 * Every case checks both; the number names the one that its fault threatens most.
 */
export const RUN_PROOFS: readonly ProofCase[] = [
  createCase('runs-owner-killed', 6, [ownerKilled]),
  createCase('runs-table-lost-answers', 5, [tableLostAnswers]),
  createCase('runs-table-error-after-effect', 6, [tableErrorAfterEffect]),
  createCase('runs-table-outage', 5, [tableOutage]),
  createCase('runs-holder-frozen', 6, [holderFrozen]),
  createCase('runs-service-drops-answers', 6, [dropAfterRun]),
  createCase('runs-service-killed', 5, [serviceKilled], true),
  createCase('runs-connection-silent', 6, [connectionSilent]),
  createCase('runs-all-entries-replaced', 6, [entriesReplaced]),
  createCase('runs-holder-frozen-and-slow-table', 5, [holderFrozen, slowTable]),
  createCase('runs-owner-killed-and-error-after-effect', 6, [ownerKilled, tableErrorAfterEffect]),
  createCase('runs-service-killed-and-lost-answers', 5, [serviceKilled, tableLostAnswers]),
  createCase('runs-entries-replaced-and-drops', 6, [entriesReplaced, dropAfterRun]),
];
