import t from 'tap';
import { createRandom, type Random } from '@lovagearch/common';
import {
  applyLoadDigest,
  chooseEndpoint,
  computeDigestKey,
  createLoadDigest,
  Endpoint,
  type LoadReport,
  PromptCacheEstimator,
  type SentRequest,
} from './index.js';

/**
 * `blind`: no figure, and reports that are dropped after a second; `aged_reports`: no figure, but aged reports;
 * `current`: both; `lowest_figure`: the endpoint with the lowest last figure.
 */
type Policy = 'aged_reports' | 'blind' | 'current' | 'lowest_figure';

const NODES = 85;
const ZONES = ['z0', 'z1', 'z2', 'z3', 'z4', 'z5'];
const REGION_BY_ZONE = new Map(ZONES.map((zone, index) => [zone, index < 3 ? 'r0' : 'r1']));
const SLOTS = 6;
const WORK_MS = 21;
const DIGEST_MS = 260;
const RUN_MS = 12_000;
const WARMUP_MS = 4_000;
const CHANGE_MS = 50;
const getZoneIndex = (node: number) => node % ZONES.length;

const getRoundTripMs = (from: number, to: number) => {
  if (from === to) return 0;
  return REGION_BY_ZONE.get(ZONES[from]!) === REGION_BY_ZONE.get(ZONES[to]!) ? 3 : 16;
};

interface Call {
  readonly node: number;
  readonly sent: SentRequest;
  readonly arrivesAtMs: number;
  remainingMs: number;
}

const createEndpoints = () =>
  ZONES.map((zone, index) =>
    Endpoint.create(
      {
        id: `i-${index}`,
        startedUnixMs: 1,
        softwareVersion: 'v1',
        service: 'app',
        address: '10.0.0.1:80',
        zone,
        slots: SLOTS,
        state: 'ready',
        warmupRemainingMs: 0,
        heartbeat: 1,
        weights: new Map(),
      },
      0,
    ),
  );

const choose = (policy: Policy, node: number, views: Endpoint[], nowMs: number, random: Random) => {
  if (policy === 'lowest_figure') {
    const figures = views.map(({ lastReport }) => lastReport?.workPercent ?? 100);
    const lowest = Math.min(...figures);
    const ties = figures.flatMap((figure, index) => (figure === lowest ? [index] : []));
    return { index: ties[Math.floor(random() * ties.length)]!, ownMs: 0, expectedMs: 0 };
  }
  const placement = chooseEndpoint({
    request: {
      service: 'app',
      parts: [],
      cacheSalt: undefined,
      store: undefined,
      memoryTokens: 0,
      engineMemoryTokens: 0,
      model: undefined,
      excluded: new Set(),
      getWeightsRemainingMs: () => Number.POSITIVE_INFINITY,
    },
    endpoints: views,
    promptCache: PromptCacheEstimator.create(),
    nodeLocation: {
      zone: ZONES[getZoneIndex(node)]!,
      region: REGION_BY_ZONE.get(ZONES[getZoneIndex(node)]!)!,
      regionByZone: REGION_BY_ZONE,
    },
    heartbeatMs: 1_000,
    areRegistrationsCurrent: false,
    nodeCount: policy === 'blind' ? 1 : NODES,
    nowMs,
    random,
  })!;
  return { ...placement, index: Number(placement.endpointId.slice(2)) };
};

/** Serves calls of all nodes; endpoints 0, 2 and 4 change their speed 20 times a second, the others are steady. */
const simulate = (policy: Policy, callsPerS: number, seed: number) => {
  const random = createRandom(seed);
  const views = Array.from({ length: NODES }, createEndpoints);
  const queues: Call[][] = ZONES.map(() => []);
  const factors = ZONES.map(() => 1);
  const latencies: number[] = [];
  const responses: { atMs: number; index: number; call: Call; report: LoadReport }[] = [];
  let longestQueue = 0;
  for (let nowMs = 0; nowMs < RUN_MS; nowMs++) {
    if (nowMs % CHANGE_MS === 0)
      for (const index of [0, 2, 4]) factors[index] = 0.5 + 5 * random() ** 2;
    for (const { index, call, report } of responses.filter(({ atMs }) => atMs === nowMs)) {
      const view = views[call.node]![index]!;
      view.recordLoadReport(report, nowMs);
      const processingMs = nowMs - call.sent.sentAtMs;
      view.recordCompletion(call.sent, { type: 'answered', isFailure: false, processingMs }, nowMs);
      if (nowMs > WARMUP_MS) latencies.push(processingMs);
    }
    for (let node = 0; node < NODES; node++) {
      if ((nowMs + node * 3) % DIGEST_MS !== 0) continue;
      const entries = createLoadDigest(views[node]!, 300, nowMs);
      for (let peer = getZoneIndex(node); peer < NODES; peer += ZONES.length) {
        const find = (key: number) =>
          views[peer]!.find(({ record }) => computeDigestKey(record.id) === key);
        if (peer !== node) applyLoadDigest(find, `n${node}`, entries, nowMs);
      }
    }
    if (random() * 1_000 < callsPerS) {
      const node = Math.floor(random() * NODES);
      const { index, ownMs, expectedMs } = choose(policy, node, views[node]!, nowMs, random);
      const roundTripMs = getRoundTripMs(getZoneIndex(node), index);
      const sent: SentRequest = {
        tokens: 0,
        memoryTokens: 0,
        ownMs,
        expectedWaitMs: expectedMs - ownMs,
        roundTripMs,
        mayLoadParts: false,
        sentAtMs: nowMs,
      };
      views[node]![index]!.recordSent(sent);
      const arrivesAtMs = nowMs + roundTripMs / 2;
      queues[index]!.push({ node, sent, arrivesAtMs, remainingMs: WORK_MS });
    }
    for (const [index, queue] of queues.entries()) {
      const factor = factors[index]!;
      const arrived = queue.filter(({ arrivesAtMs }) => arrivesAtMs <= nowMs);
      const running = arrived.slice(0, SLOTS);
      const waiting = arrived.length - running.length;
      if (nowMs > WARMUP_MS) longestQueue = Math.max(longestQueue, waiting);
      for (const call of running) {
        call.remainingMs -= 1 / factor;
        if (call.remainingMs > 0) continue;
        queue.splice(queue.indexOf(call), 1);
        const report = { running: running.length - 1, waiting, slots: SLOTS };
        const atMs = nowMs + 1 + Math.ceil(call.sent.roundTripMs / 2);
        const workPercent =
          policy === 'blind' || policy === 'aged_reports' ? undefined : Math.round(factor * 100);
        responses.push({ atMs, index, call, report: { ...report, workPercent } });
      }
    }
  }
  latencies.sort((left, right) => left - right);
  return {
    meanMs: latencies.reduce((sum, ms) => sum + ms, 0) / latencies.length,
    p99Ms: latencies[Math.floor(latencies.length * 0.99)]!,
    longestQueue,
  };
};

const simulateSeeds = (policy: Policy, callsPerS: number) => {
  const runs = [1, 2, 3].map((seed) => simulate(policy, callsPerS, seed));
  const getMean = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  return {
    meanMs: getMean(runs.map(({ meanMs }) => meanMs)),
    p99Ms: getMean(runs.map(({ p99Ms }) => p99Ms)),
    longestQueue: Math.max(...runs.map(({ longestQueue }) => longestQueue)),
  };
};

const POLICIES = ['lowest_figure', 'blind', 'aged_reports', 'current'] as const;

// Guards against nodes that all choose the endpoint whose last figure was the lowest, and against figures that are
// not used: endpoints whose speed changes 20 times a second next to steady ones.
for (const callsPerS of [228, 700, 950]) {
  t.test(`${NODES} nodes with stale figures, ${callsPerS} calls per second`, async (t2) => {
    const results = new Map(POLICIES.map((policy) => [policy, simulateSeeds(policy, callsPerS)]));
    for (const [policy, result] of results) t2.comment(policy, result);
    const [naive, blind, current] = (['lowest_figure', 'blind', 'current'] as const).map((policy) =>
      results.get(policy)!,
    );
    t2.ok(current!.meanMs < naive!.meanMs && current!.meanMs < blind!.meanMs, 'mean');
    t2.ok(current!.p99Ms < blind!.p99Ms, '99th percentile');
    t2.ok(current!.longestQueue <= Math.max(4, naive!.longestQueue / 2), 'no herding');
  });
}
