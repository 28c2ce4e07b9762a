import { createRandom, getErrorMessage, processClock } from '@lovagearch/common';
import { Cluster } from './cluster.js';
import type { ProofCase } from './proofCase.js';

/** Time after which a case counts as failed, in milliseconds. */
const CASE_TIMEOUT_MS = 90_000;

export interface ProofResult {
  readonly proof: ProofCase;
  readonly seed: number;
  readonly hasHeld: boolean;
  readonly detail: string;
  readonly elapsedMs: number;
}

/** Runs one case with a seed; a case that hangs fails. */
export const runProof = async (proof: ProofCase, seed: number): Promise<ProofResult> => {
  const startMs = processClock.nowMs();
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(
      () => reject(new RangeError(`no result within ${CASE_TIMEOUT_MS} ms`)),
      CASE_TIMEOUT_MS,
    );
  });
  try {
    const run = proof.run({ seed, random: createRandom(seed) });
    const detail = await Promise.race([run, timeout]);
    return { proof, seed, hasHeld: true, detail, elapsedMs: processClock.nowMs() - startMs };
  } catch (error) {
    const detail = getErrorMessage(error);
    return { proof, seed, hasHeld: false, detail, elapsedMs: processClock.nowMs() - startMs };
  } finally {
    clearTimeout(timer);
    await Cluster.stopAll();
  }
};

/** Formats one line of the report. */
export const formatProof = ({ proof, seed, hasHeld, detail, elapsedMs }: ProofResult): string =>
  [
    hasHeld ? 'held  ' : 'BROKEN',
    `promise ${proof.promise}`,
    proof.name.padEnd(44),
    `seed ${seed}`.padEnd(12),
    `${(elapsedMs / 1_000).toFixed(1)} s`.padStart(7),
    ` [${proof.faults.join(' + ')}] ${detail}`,
  ].join(' ');
