import t from 'tap';
import type { ProofCase } from './proofCase.js';
import { withDrainCluster } from './drainCluster.js';
import { ProofLoad } from './proofLoad.js';
import { runProof } from './proofRunner.js';

// A case that fails before `ProofLoad.stop` left its callers sending requests to processes that
// had ended, which kept the test process running until the time limit of its file.
t.test('a failed case ends its callers', async (t2) => {
  let load: ProofLoad | undefined;
  const proof: ProofCase = {
    name: 'fails-under-load',
    promise: 4,
    faults: [],
    isInTests: false,
    run: async ({ random }) =>
      withDrainCluster({ entries: 1, engines: 1 }, random, async (scene) => {
        load = ProofLoad.start({ ...scene, callers: { stream: 2, long: 1 } });
        await load.waitCompleted(3);
        throw new RangeError('fails on purpose');
      }),
  };
  const { hasHeld, detail } = await runProof(proof, 1);
  t2.notOk(hasHeld);
  t2.equal(detail, 'fails on purpose');
  t2.equal(load?.activeCallers, 0);
});
