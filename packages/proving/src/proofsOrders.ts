import type { StartedProcess } from '@lovagearch/standins';
import { setTimeout as waitMs } from 'node:timers/promises';
import { request } from 'undici';
import {
  createDrainFiles,
  PROOF_MODEL,
  withDrainCluster,
  type DrainCluster,
} from './drainCluster.js';
import { OrderObserver } from './orderObserver.js';
import { assertProof, type ProofCase } from './proofCase.js';
import { ProofLoad } from './proofLoad.js';

const CALLERS = { stream: 4, whole: 3, long: 2 };
const MAX_LOADS = 2;
/** Longer than the lease of 10 s, the spread of challengers of 2 s and the check interval. */
const PAST_LEASE_MS = 13_500;
const SWAP_TIMEOUT_MS = 40_000;
const LATE_ORDER = { orderId: 'late', type: 'load', model: PROOF_MODEL, weightVersion: 'v1' };

interface Scene extends DrainCluster {
  readonly observer: OrderObserver;
  readonly load: ProofLoad;
  readonly stewards: readonly StartedProcess[];
}

interface OrdersPlan {
  readonly engine?: object;
  /** Publishes the new version, injects the faults, and returns what was seen. */
  readonly run: (scene: Scene) => Promise<string>;
}

const publishVersion = async ({ cluster, options }: Scene, version: string): Promise<void> => {
  const result = await cluster.publish(createDrainFiles(version, options.modelService), version);
  assertProof(result.exitCode === 0, `publish failed: ${result.stderr}`);
};

const proveOrders = (plan: OrdersPlan): ProofCase['run'] => {
  const options = {
    entries: 2,
    // Two in the north: the only runner of a region is never taken out for a swap.
    engines: 6,
    engine: plan.engine ?? {},
    modelService: { maxConcurrentLoads: MAX_LOADS },
  };
  return async ({ random }) =>
    withDrainCluster(options, random, async (drainCluster) => {
      const { cluster, engines } = drainCluster;
      // Both race for the lease of the service in their region; the third one works elsewhere.
      const places = ['entry-0', 'entry-0', 'north'].map((id) =>
        id === 'north' ? { region: 'north', zone: 'taoyuan' } : cluster.getVm(id),
      );
      const stewards = await Promise.all(
        places.map(async ({ region, zone }, index) =>
          cluster.startSteward(`steward-${index}`, { region, zone }),
        ),
      );
      const load = ProofLoad.start({
        ...drainCluster,
        callers: CALLERS,
        weightVersions: ['v1', 'v2', 'v3'],
      });
      const observer = OrderObserver.start(cluster, engines);
      const seen = await plan.run({ ...drainCluster, load, observer, stewards });
      return `${seen}, ${await observer.stop(MAX_LOADS)}, ${await load.stop()}`;
    });
};

/** Returns the largest fencing token that an engine has seen. */
const getHighestToken = async ({ observer }: Scene, engine: string): Promise<number> =>
  Math.max(0, ...(await observer.readOrders(engine)).map(({ fencing }) => fencing));

const sendOrder = async ({ cluster }: Scene, engine: string, order: object): Promise<number> => {
  const response = await request(`${cluster.getVm(engine).process.url()}/v1/orders`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${cluster.serviceToken}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify(order),
  });
  await response.body.dump();
  return response.statusCode;
};

/** Freezes both stewards of the region in turn past the lease, so that the holder is one of them. */
const freezeHolder = async (scene: Scene): Promise<string> => {
  const { observer, stewards } = scene;
  await publishVersion(scene, 'v2');
  await observer.waitForLoad(SWAP_TIMEOUT_MS);
  const oldToken = await getHighestToken(scene, 'engine-0');
  const [first, second] = stewards;
  first?.kill('SIGSTOP');
  await waitMs(PAST_LEASE_MS);
  first?.kill('SIGCONT');
  second?.kill('SIGSTOP');
  await waitMs(PAST_LEASE_MS);
  second?.kill('SIGCONT');
  await observer.waitForVersion('v2', SWAP_TIMEOUT_MS);
  await publishVersion(scene, 'v3');
  await observer.waitForVersion('v3', SWAP_TIMEOUT_MS);
  const newToken = await getHighestToken(scene, 'engine-0');
  assertProof(newToken > oldToken, `the token did not rise above ${oldToken}`);
  return String(oldToken);
};

/** Fails the proof if an engine accepted an order with a lower token than one before. */
const checkTokens = async ({ engines, observer }: Scene): Promise<void> => {
  for (const engine of engines) {
    let highest = 0;
    for (const { fencing, isAccepted } of await observer.readOrders(engine)) {
      assertProof(
        !isAccepted || fencing >= highest,
        `${engine} accepted an order of an old holder`,
      );
      highest = Math.max(highest, fencing);
    }
  }
};

/** Orders to engines under leases (design 4.14). */
export const PROOFS_ORDERS: readonly ProofCase[] = [
  {
    name: 'orders-two-stewards-race',
    promise: 3,
    faults: ['two stewards race for the lease of a region'],
    isInTests: true,
    run: proveOrders({
      run: async (scene) => {
        await publishVersion(scene, 'v2');
        await scene.observer.waitForVersion('v2', SWAP_TIMEOUT_MS);
        await checkTokens(scene);
        return 'all engines swapped';
      },
    }),
  },
  {
    name: 'orders-holder-frozen-engines-check-tokens',
    promise: 3,
    faults: ['holder frozen past its lease', 'a late order of the old holder'],
    isInTests: false,
    run: proveOrders({
      run: async (scene) => {
        const oldToken = Number(await freezeHolder(scene));
        const status = await sendOrder(scene, 'engine-0', { ...LATE_ORDER, fencing: oldToken });
        assertProof(status === 409, `the late order was answered with ${status}`);
        await checkTokens(scene);
        await scene.observer.waitForVersion('v3', SWAP_TIMEOUT_MS);
        return 'late order rejected';
      },
    }),
  },
  {
    name: 'orders-holder-frozen-engines-ignore-tokens',
    promise: 3,
    faults: ['holder frozen past its lease', 'a late order at an engine that ignores tokens'],
    isInTests: false,
    run: proveOrders({
      engine: { checksFencing: false },
      run: async (scene) => {
        const oldToken = Number(await freezeHolder(scene));
        const status = await sendOrder(scene, 'engine-0', { ...LATE_ORDER, fencing: oldToken });
        assertProof(status === 202, `the late order was answered with ${status}`);
        await scene.observer.waitForLoad(SWAP_TIMEOUT_MS);
        await scene.observer.waitForVersion('v3', SWAP_TIMEOUT_MS);
        return 'late order reconciled';
      },
    }),
  },
  {
    name: 'orders-table-down-past-lease',
    promise: 3,
    faults: ['table down for longer than the lease in the middle of a swap'],
    isInTests: false,
    run: proveOrders({
      run: async (scene) => {
        const { cluster, engines, observer } = scene;
        await publishVersion(scene, 'v2');
        await observer.waitForLoad(SWAP_TIMEOUT_MS);
        await cluster.setFaults('platform', { table: 'down' });
        await waitMs(PAST_LEASE_MS);
        // The lease has ended by now: an order in the last 3 s would have had none.
        for (const engine of engines) {
          const late = (await observer.readOrders(engine)).filter(({ ageMs }) => ageMs < 3_000);
          assertProof(late.length === 0, `${engine} received an order without a lease`);
        }
        await cluster.setFaults('platform', {});
        await observer.waitForVersion('v2', SWAP_TIMEOUT_MS);
        await checkTokens(scene);
        return 'no order without a lease, swap completed afterwards';
      },
    }),
  },
  {
    name: 'orders-holder-killed-table-slow',
    promise: 3,
    faults: ['a steward killed in the middle of a swap', 'table slow'],
    isInTests: false,
    run: proveOrders({
      run: async (scene) => {
        const { cluster, observer, stewards, random } = scene;
        await publishVersion(scene, 'v2');
        await observer.waitForLoad(SWAP_TIMEOUT_MS);
        await cluster.setFaults('platform', { table: 'slow', delayMs: 500 });
        stewards[random() < 0.5 ? 0 : 1]?.kill('SIGKILL');
        await observer.waitForVersion('v2', SWAP_TIMEOUT_MS);
        await checkTokens(scene);
        return 'swap completed by the next holder or the same one';
      },
    }),
  },
];
