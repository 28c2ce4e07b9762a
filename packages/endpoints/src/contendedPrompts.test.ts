import t from 'tap';
import { createRandom } from '@lovagearch/common';
import {
  chooseEndpoint,
  Endpoint,
  type EndpointChoiceInput,
  PromptCacheEstimator,
} from './index.js';

const createEngine = (id: string, workPercent?: number) => {
  const engine = Endpoint.create(
    {
      id,
      startedUnixMs: 1,
      softwareVersion: 'v1',
      service: 'llm',
      address: '10.0.0.1:80',
      zone: 'z1',
      slots: 64,
      state: 'ready',
      warmupRemainingMs: 0,
      heartbeat: 1,
      weights: new Map(),
    },
    0,
  );
  for (let index = 0; index < 100; index++)
    engine.recordLoadReport({ running: 0, waiting: 0, slots: 64, workPercent }, index);
  return engine;
};

const choose = (endpoints: readonly Endpoint[], nowMs = 100) => {
  const input: EndpointChoiceInput = {
    request: {
      service: 'llm',
      parts: [{ id: 'own', tokens: 2_370 }],
      cacheSalt: undefined,
      store: undefined,
      memoryTokens: 2_373,
      engineMemoryTokens: 148_357,
      model: undefined,
      excluded: new Set(),
      getWeightsRemainingMs: () => Number.POSITIVE_INFINITY,
    },
    endpoints,
    promptCache: PromptCacheEstimator.create(),
    nodeLocation: { zone: 'z1', region: 'r1', regionByZone: new Map([['z1', 'r1']]) },
    heartbeatMs: 1_000,
    areRegistrationsCurrent: false,
    nodeCount: 85,
    nowMs,
    random: createRandom(1),
  };
  return chooseEndpoint(input)!;
};

// Guards against prompts that go to an engine which shares its machine although a free one is as near.
t.test('a contended engine takes longer and is avoided', async (t2) => {
  const [steady, contended] = [createEngine('steady', 100), createEngine('contended', 300)];
  t2.equal(choose([steady, contended]).endpointId, 'steady');
  const [steadyMs, contendedMs] = [choose([steady]).ownMs, choose([contended]).ownMs];
  t2.ok(contendedMs > 2.7 * steadyMs && contendedMs <= 3 * steadyMs, `${contendedMs}`);
});

// Guards against other forecasts where engines state no figure.
t.test('an engine without a figure is forecast like one that works as usual', async (t2) => {
  t2.equal(choose([createEngine('i-1')]).expectedMs, choose([createEngine('i-1', 100)]).expectedMs);
});

t.test('one high figure of a steady engine is forgotten within some changes', async (t2) => {
  const [steady, other] = [createEngine('steady', 100), createEngine('other', 130)];
  steady.recordLoadReport({ running: 0, waiting: 0, slots: 64, workPercent: 900 }, 100);
  t2.equal(choose([steady, other], 100).endpointId, 'other');
  t2.equal(choose([steady, other], 400).endpointId, 'steady');
});
