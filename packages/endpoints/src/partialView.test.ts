import t from 'tap';
import { EngineTimings } from '@lovagearch/estimation';
import { createRandom } from '@lovagearch/common';
import { Endpoint, type SentRequest } from './index.js';

const NODES = 85;

const createEndpoint = (slots: number, timings?: EngineTimings) =>
  Endpoint.create(
    {
      id: 'i-1',
      startedUnixMs: 1,
      softwareVersion: 'v1',
      service: 'app',
      address: '10.0.0.1:80',
      zone: 'z1',
      slots,
      state: 'ready',
      warmupRemainingMs: 0,
      heartbeat: 1,
      weights: new Map(),
    },
    0,
    undefined,
    timings,
  );

const createSent = (memoryTokens: number): SentRequest => ({
  tokens: 0,
  memoryTokens,
  ownMs: 0,
  expectedWaitMs: 0,
  roundTripMs: 0,
  mayLoadParts: false,
  sentAtMs: 0,
});

// Guards against a node of many that takes an endpoint without a recent report for an idle one.
t.test('an old report counts as the usual load of its endpoint', async (t2) => {
  const endpoint = createEndpoint(6);
  const atMs = 2_000;
  for (let index = 1; index <= 20; index++)
    endpoint.recordLoadReport({ running: 6, waiting: 2, slots: 6 }, index * 100);
  endpoint.recordLoadReport({ running: 1, waiting: 0, slots: 6 }, atMs);
  const estimateAfter = (ageMs: number, nodeCount = NODES) => {
    const { running, waiting } = endpoint.estimateRequests(atMs + ageMs, nodeCount);
    return running + waiting;
  };
  t2.ok(estimateAfter(0) < 1.5, 'a fresh report counts');
  t2.ok(estimateAfter(500) > 3.5, `${estimateAfter(500)}`);
  endpoint.recordSent(createSent(0));
  t2.ok(estimateAfter(0) > 1.9, 'with the requests sent since');
  t2.ok(
    estimateAfter(20_000) < 1.01,
    'a very old one says nothing, as nobody has sent requests since',
  );
  t2.equal(estimateAfter(1_500, 16), 1, 'fewer nodes know each other');
});

const ZONE_COUNT = 6;
const CAPACITY_TOKENS = 148_357;
const ENGINES = 4;
const RUN_MS = 6_000;
const WARMUP_MS = 2_000;
/** Of 1,060 prompts that fill 0.9 of the memory without a break. */
const LEAST_SERVED = 900;

/**
 * Nodes that send each prompt to the engine with the most free memory, or refuse it if none has any; a prompt of
 * 12,048 or 2,373 tokens stays for 400 or 60 ms. A node stands for the 14 of its zone, which exchange digests.
 */
const fillEngines = (nodeCount: number, seed: number) => {
  const random = createRandom(seed);
  const nodes = Array.from({ length: ZONE_COUNT }, () => {
    const timings = EngineTimings.create();
    return Array.from({ length: ENGINES }, () => createEndpoint(64, timings));
  });
  const held = Array.from({ length: ENGINES }, () => 0);
  const counts = Array.from({ length: ENGINES }, () => 0);
  const ends: { atMs: number; zone: number; engine: number; sent: SentRequest }[] = [];
  let peakTokens = 0;
  let served = 0;
  for (let nowMs = 0; nowMs < RUN_MS; nowMs++) {
    for (const { zone, engine, sent } of ends.filter(({ atMs }) => atMs === nowMs)) {
      held[engine]! -= sent.memoryTokens;
      counts[engine]! -= 1;
      const view = nodes[zone]![engine]!;
      view.recordCompletion(sent, { type: 'answered', isFailure: false, processingMs: 0 }, nowMs);
    }
    if (random() < 0.5) continue;
    const zone = Math.floor(random() * ZONE_COUNT);
    const [memoryTokens, stayMs] = random() < 0.4 ? [12_048, 400] : [2_373, 60];
    const waits = nodes[zone]!.map((view) =>
      view.estimateMemoryWaitMs(memoryTokens, CAPACITY_TOKENS, nowMs, nodeCount),
    );
    const free = nodes[zone]!.map((view) => view.estimateMemoryTokens(nowMs, nodeCount));
    const engine = free.indexOf(Math.min(...free));
    if (waits[engine]! > 0) continue;
    const sent = { ...createSent(memoryTokens), sentAtMs: nowMs };
    const view = nodes[zone]![engine]!;
    view.recordSent(sent);
    view.recordFirstByte(sent, nowMs);
    held[engine]! += memoryTokens;
    counts[engine]! += 1;
    // An engine reports its load with the head of the response.
    view.recordLoadReport({ running: counts[engine]!, waiting: 0, slots: 64 }, nowMs);
    ends.push({ atMs: nowMs + stayMs, zone, engine, sent });
    if (nowMs < WARMUP_MS) continue;
    served += 1;
    peakTokens = Math.max(peakTokens, ...held);
  }
  return { peakTokens, served };
};

// Guards against engines that preempt prompts because six zones each fill the memory with what they know of it.
t.test('six zones that each see a sixth keep the sum below the memory', async (t2) => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const blind = fillEngines(1, seed);
    const current = fillEngines(NODES, seed);
    t2.comment({ blind, current });
    t2.ok(blind.peakTokens > CAPACITY_TOKENS);
    t2.ok(current.peakTokens <= CAPACITY_TOKENS, `${current.peakTokens}`);
    t2.ok(current.served > LEAST_SERVED, `${current.served}`);
  }
});
