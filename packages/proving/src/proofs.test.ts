import t from 'tap';
import { runProof } from './proofRunner.js';
import { PROOFS } from './proofs.js';

const SEED = Number(process.env.SEED ?? 1);

// One after another: each case starts a cluster of real processes.
for (const proof of PROOFS.filter(({ isInTests }) => isInTests)) {
  t.test(`promise ${proof.promise} breaks under ${proof.faults.join(' and ')}`, async (t2) => {
    const { hasHeld, detail } = await runProof(proof, SEED);
    t2.ok(hasHeld, `${proof.name}, seed ${SEED}: ${detail}`);
  });
}
