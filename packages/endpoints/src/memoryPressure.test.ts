import t from 'tap';
import { createRandom } from '@lovagearch/common';
import {
  chooseEndpoint,
  Endpoint,
  type EndpointChoiceInput,
  type EndpointRecord,
  type PlacementRequest,
  PromptCacheEstimator,
  type PromptPartStore,
  type SentRequest,
} from './index.js';

/** Memory of an engine that holds about five long prompts, in tokens. */
const CAPACITY_TOKENS = 50_000;
const PROMPT_TOKENS = 9_000;
const PARTS = [
  { id: 'shared', tokens: 7_500 },
  { id: 'own', tokens: 1_500 },
];

const createEndpoint = (id: string, zone = 'z1'): Endpoint => {
  const record: EndpointRecord = {
    id,
    startedUnixMs: 1,
    softwareVersion: 'v1',
    service: 'llm',
    address: '10.0.0.1:80',
    zone,
    slots: 64,
    state: 'ready',
    warmupRemainingMs: 0,
    heartbeat: 1,
    weights: new Map(),
  };
  return Endpoint.create(record, 0);
};

const STORE: PromptPartStore = {
  address: '10.0.9.1:80',
  zone: 'z1',
  transferLatencyMs: 1,
  hasPartsFor: () => true,
  msPerToken: 0.007,
};

const createInput = (
  endpoints: readonly Endpoint[],
  overrides: Partial<PlacementRequest> = {},
): EndpointChoiceInput => ({
  request: {
    service: 'llm',
    parts: PARTS,
    cacheSalt: undefined,
    store: STORE,
    memoryTokens: PROMPT_TOKENS,
    engineMemoryTokens: CAPACITY_TOKENS,
    model: undefined,
    excluded: new Set(),
    getWeightsRemainingMs: () => Number.POSITIVE_INFINITY,
    ...overrides,
  },
  endpoints,
  promptCache: PromptCacheEstimator.create(),
  nodeLocation: {
    zone: 'z1',
    region: 'r1',
    regionByZone: new Map([
      ['z1', 'r1'],
      ['z2', 'r2'],
    ]),
  },
  heartbeatMs: 1_000,
  areRegistrationsCurrent: true,
  nodeCount: 1,
  nowMs: 0,
  random: createRandom(1),
});

const createSent = (sentAtMs: number): SentRequest => ({
  tokens: 0,
  memoryTokens: PROMPT_TOKENS,
  ownMs: 40,
  expectedWaitMs: 0,
  roundTripMs: 1,
  mayLoadParts: false,
  sentAtMs,
});

/** Serves requests of a duration one after another, then leaves five that fill the memory. */
const fillMemory = (endpoint: Endpoint, durationMs: number): number => {
  let nowMs = 0;
  for (let index = 0; index < 40; index++) {
    const sent = createSent(nowMs);
    endpoint.recordSent(sent);
    endpoint.recordFirstByte(sent, nowMs + 40);
    nowMs += 40 + durationMs;
    endpoint.recordCompletion(sent, { type: 'answered', isFailure: false, processingMs: 0 }, nowMs);
  }
  for (let index = 0; index < 5; index++) {
    const sent = createSent(nowMs);
    endpoint.recordSent(sent);
    endpoint.recordFirstByte(sent, nowMs + 40);
  }
  return nowMs + 40;
};

// Guards against refusals of requests that an engine with a full memory would have begun after a few milliseconds:
// its requests end at a rate that frees their memory.
t.test('the wait for memory follows the rate at which requests end', async (t2) => {
  const short = createEndpoint('short');
  const long = createEndpoint('long');
  const shortWaitMs = short.estimateMemoryWaitMs(
    PROMPT_TOKENS,
    CAPACITY_TOKENS,
    fillMemory(short, 100),
  );
  const longWaitMs = long.estimateMemoryWaitMs(
    PROMPT_TOKENS,
    CAPACITY_TOKENS,
    fillMemory(long, 4_000),
  );
  // A fifth of the requests has to end, and they take 140 ms and 4,040 ms.
  t2.ok(shortWaitMs > 15 && shortWaitMs < 60, `${shortWaitMs}`);
  t2.ok(longWaitMs > 500 && longWaitMs < 1_000, `${longWaitMs}`);
  t2.equal(short.estimateMemoryWaitMs(PROMPT_TOKENS, 0, 0), 0, 'the memory may be unknown');
  t2.equal(short.estimateMemoryWaitMs(10, 10 * CAPACITY_TOKENS, 0), 0);
});

// Guards against shared parts that are prefilled again, as an engine with little memory has dropped them.
t.test('a part counts as cached until the engine has taken as much as it retains', async (t2) => {
  const endpoint = createEndpoint('i-1');
  const input = createInput([endpoint], { store: undefined });
  const choose = () => chooseEndpoint(input)?.uncachedTokens;
  const { promptCache } = input;
  promptCache.recordSent(PARTS, '', 'i-1', PROMPT_TOKENS, 0);
  t2.equal(choose(), 1_500);
  const others = [
    { id: 'other', tokens: 7_500 },
    { id: 'own', tokens: 1_500 },
  ];
  for (let index = 0; index < 5; index++)
    promptCache.recordSent(others, '', 'i-1', PROMPT_TOKENS, 0);
  t2.equal(choose(), 1_500, 'the engine still has room');
  promptCache.recordSent(others, '', 'i-1', PROMPT_TOKENS, 0);
  t2.ok(choose()! > 1_500, 'the part was dropped');
  // Other nodes place as much as this one.
  const shared = { ...input, nodeCount: 10, promptCache: PromptCacheEstimator.create() };
  shared.promptCache.recordSent(PARTS, '', 'i-1', PROMPT_TOKENS, 0);
  shared.promptCache.recordSent(others, '', 'i-1', PROMPT_TOKENS, 0);
  t2.ok(chooseEndpoint(shared)!.uncachedTokens > 1_500);
});

// Guards against an engine that prefills a part again, although a store near it has the part.
t.test('a part that seems to be cached is loaded from its store if it is missing', async (t2) => {
  const input = createInput([createEndpoint('i-1')]);
  input.promptCache.recordSent(PARTS, '', 'i-1', PROMPT_TOKENS, 0);
  const placement = chooseEndpoint(input);
  t2.equal(placement?.transferMs, 0, 'no transfer is expected');
  t2.equal(placement?.isTransferWorthwhile, true);
  const far = chooseEndpoint(
    createInput([createEndpoint('i-2', 'z2')], { store: { ...STORE, msPerToken: 0.1 } }),
  );
  t2.equal(far?.isTransferWorthwhile, false, 'a slow transfer is worse than the prefill');
});
