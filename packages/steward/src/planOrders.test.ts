import { createRandom, type Random } from '@lovagearch/common';
import { type Model, modelSchema } from '@lovagearch/configuration';
import type { EngineStatus } from '@lovagearch/engine-client';
import t from 'tap';
import { computeRegionalLoadLimit, planOrders, type RunnerState } from './index.js';

const SEED = Number(process.env.SEED ?? Date.now() % 1e9);
const SIMULATION_COUNT = 500;
const MAX_CYCLES = 400;

const createStatus = (endpointId: string): EngineStatus => ({
  endpointId,
  boot: 'b',
  state: 'ready',
  role: 'general',
  models: [],
  loading: [],
  load: { queuedPromptTokens: 0, activeSequences: 0, cacheUse: 0, ageMs: 0 },
  fencing: 0,
  checksFencing: true,
});

const createModel = (name: string, weightVersion: string, minRunners: number): Model =>
  modelSchema.parse({ kind: 'model', name, service: 's', weightVersion, minRunners });

const countReady = (statuses: readonly EngineStatus[]): number =>
  statuses.filter(
    ({ state, loading, models }) => state === 'ready' && loading.length === 0 && models.length > 0,
  ).length;

/** Finishes random loads; with `replaces`, the new version replaces the old one on its runner. */
const finishLoads = (statuses: EngineStatus[], random: Random, replaces: boolean): void => {
  for (const status of statuses) {
    const [load] = status.loading;
    if (load === undefined || random() < 0.5) continue;
    const kept = status.models.filter((held) => !replaces || held.model !== load.model);
    Object.assign(status, {
      loading: [],
      state: 'ready',
      models: [...kept, { ...load, adapters: [] }],
    });
  }
};

const simulateCycles = (seed: number, fail: (what: string) => void): void => {
  const random = createRandom(seed);
  const count = 2 + Math.floor(random() * 12);
  const maxLoads = 1 + Math.floor(random() * 3);
  const replaces = random() < 0.5;
  const statuses = Array.from({ length: count }, (_, index) => createStatus(`r${index}`));
  let models = [createModel('m', 'v1', 1)];
  const hasSecondModel = count > 5;
  if (hasSecondModel) models.push(createModel('n', 'v1', 2));
  for (let cycle = 0; cycle < MAX_CYCLES; cycle++) {
    if (cycle === MAX_CYCLES / 4)
      models = models.map(({ name, minRunners }) => createModel(name, 'v2', minRunners));
    const canDropOrders = cycle < MAX_CYCLES / 2;
    const runners: RunnerState[] = statuses.map((status) => ({
      id: status.endpointId,
      isLeaving: false,
      status,
    }));
    const readyBefore = countReady(statuses);
    for (const order of planOrders({ models, runners, maxLoads })) {
      const status = statuses.find(({ endpointId }) => endpointId === order.runnerId)!;
      if (canDropOrders && random() < 0.1) continue;
      const { model, weightVersion } = order;
      if (order.type === 'load')
        Object.assign(status, { state: 'loading', loading: [{ model, weightVersion }] });
      else
        status.models = status.models.filter(
          (held) => held.model !== model || held.weightVersion !== weightVersion,
        );
    }
    if (statuses.filter(({ loading }) => loading.length > 0).length > maxLoads)
      fail('more concurrent loads than maxLoads');
    const required = Math.min(count - 1, Math.ceil(0.7 * count));
    if (!hasSecondModel && countReady(statuses) < Math.min(readyBefore, required))
      fail('fewer ready runners than required');
    if (readyBefore > 0 && countReady(statuses) === 0) fail('no ready runner is left');
    finishLoads(statuses, random, replaces);
  }
  const hasConverged = statuses.every(
    ({ models: held }) =>
      held.length > 0 && held.every(({ weightVersion }) => weightVersion === 'v2'),
  );
  if (!hasConverged) fail('a runner still has an outdated version');
};

t.test('a swap takes out too many runners, exceeds maxLoads or never completes', async (t2) => {
  for (let seed = SEED; seed < SEED + SIMULATION_COUNT; seed++) {
    simulateCycles(seed, (what) => t2.fail(`${what} (SEED=${seed})`));
  }
  t2.pass(`${SIMULATION_COUNT} simulations from seed ${SEED}`);
});

t.test('the only ready runner is swapped, or a leaving runner gets a load order', async (t2) => {
  const old = { ...createStatus('r'), models: [{ model: 'm', weightVersion: 'v1', adapters: [] }] };
  const models = [createModel('m', 'v2', 1)];
  t2.same(
    planOrders({ models, maxLoads: 3, runners: [{ id: 'r', isLeaving: false, status: old }] }),
    [],
  );
  const empty = { id: 'e', isLeaving: true, status: createStatus('e') };
  t2.same(planOrders({ models, maxLoads: 3, runners: [empty] }), []);
});

t.test('the regions of a service together exceed its limit of concurrent loads', async (t2) => {
  const runners = new Map([
    ['nairobi', 9],
    ['mombasa', 4],
  ]);
  t2.equal(computeRegionalLoadLimit(3, runners, 'nairobi'), 2);
  t2.equal(computeRegionalLoadLimit(3, runners, 'mombasa'), 1);
});
