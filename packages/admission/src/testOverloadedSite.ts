import type { AccountId } from '@lovagearch/common';
import { type AdmissionDecision, decideAdmission } from './decideAdmission.js';
import { DemandMeters, type RequestDemand } from './demandMeters.js';
import { type HeldRequest, HoldQueue } from './holdQueue.js';
import { RepeatedRefusals } from './repeatedRefusals.js';
import { ReturnSchedule } from './returnSchedule.js';

/** `naive` admits all, `isolated` decides about each request without the demand of others. */
export type Policy = 'naive' | 'isolated' | 'shared';

export interface SimulatedKind {
  readonly name: string;
  readonly priority: number;
  readonly targetMs: number;
  readonly workMs: number;
  readonly getRate: (nowMs: number) => number;
}

/** Kinds of deployment T that use engines; `load` multiplies the bulk prompts. */
export const createKinds = (
  getBulkLoad: (nowMs: number) => number,
  load = 1,
): readonly SimulatedKind[] => [
  { name: 'chat', priority: 0, targetMs: 408, workMs: 12, getRate: () => 239 * load },
  { name: 'short', priority: 1, targetMs: 410, workMs: 24, getRate: () => 192 * load },
  {
    name: 'bulk',
    priority: 2,
    targetMs: 1_519,
    workMs: 100,
    getRate: (nowMs) => 97.5 * load * getBulkLoad(nowMs),
  },
];

export interface SiteScenario {
  readonly kinds: readonly SimulatedKind[];
  /** Share of the requests that the first of the accounts sends. */
  readonly firstAccountShare?: number;
  /** Times that callers of the first account repeat a refused request at once. */
  readonly repeats?: number;
  /** Share of the nodes that see only their own requests, from 2 s on. */
  readonly partitionedShare?: number;
  /** Engines that fail at 3 s. */
  readonly lostEngines?: number;
}

interface SiteRequest {
  readonly kind: SimulatedKind;
  readonly account: number;
  readonly key: string;
  readonly workMs: number;
  readonly isLarge: boolean;
  readonly firstAtMs: number;
  atMs: number;
  tries: number;
}

interface Job {
  readonly request: SiteRequest;
  readonly node: number;
  readonly sentAtMs: number;
}

interface Held extends HeldRequest {
  readonly request: SiteRequest;
}

/** Served requests are those with a first event while the caller waits. */
export interface Tally {
  offered: number;
  inTime: number;
  late: number;
}

const [NODES, ENGINES, ACCOUNTS] = [85, 42, 24];
const [STEP_MS, DURATION_MS, VIEW_AGE_MS, PULSE_MS] = [5, 10_000, 150, 50];
const [TIME_LIMIT_MS, MAX_TRIES, LARGE_FACTOR] = [12_000, 3, 4];

/** Creates a linear congruential generator, so that a failure repeats. */
export const createRandom = (seed: number) => {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
};

/** Simulates a site of 85 nodes and 42 engines that run one prompt at a time, urgent ones first. */
export const simulateSite = (scenario: SiteScenario, policy: Policy, seed: number) => {
  const random = createRandom(seed);
  const tallies = new Map<string, Tally>();
  const getTally = (name: string) => {
    const tally = tallies.get(name) ?? { offered: 0, inTime: 0, late: 0 };
    tallies.set(name, tally);
    return tally;
  };
  const listTallies = ({ kind, account, isLarge }: SiteRequest) => [
    getTally(kind.name),
    getTally(`account ${account === 0 ? 'first' : 'others'}`),
    ...(account === 0 ? [] : [getTally(`account ${account}`)]),
    ...(isLarge ? [getTally(`${kind.name} large`)] : []),
  ];
  const engines = Array.from({ length: ENGINES }, () => ({
    queue: [] as Job[],
    busyUntilMs: 0,
    seen: [] as number[],
    isLost: false,
  }));
  const nodes = Array.from({ length: NODES }, () => ({
    meters: DemandMeters.create(),
    schedule: ReturnSchedule.create(),
    refusals: RepeatedRefusals.create(),
    queue: HoldQueue.create<Held>({ maxCount: 512, maxBytes: Infinity }),
  }));
  const arrivals: SiteRequest[] = [];
  let nowMs = 0;

  /** Callers of T wait for the largest of 2.4 s and four times the target. */
  const getPatienceMs = ({ kind }: SiteRequest) => Math.max(2_400, kind.targetMs * 4);
  const estimateWaitMs = (engineIndex: number, node: number): number => {
    const { queue, seen } = engines[engineIndex]!;
    const own = queue.filter((job) => job.node === node);
    const sum = (jobs: readonly Job[]) => jobs.reduce((ms, { request }) => ms + request.workMs, 0);
    const isPartitioned = nowMs > 2_000 && node < NODES * (scenario.partitionedShare ?? 0);
    const oldestMs = Math.max(0, ...own.map(({ sentAtMs }) => nowMs - sentAtMs));
    if (isPartitioned) return Math.max(oldestMs, sum(own));
    const recent = own.filter(({ sentAtMs }) => nowMs - sentAtMs < VIEW_AGE_MS);
    return Math.max(0, seen.at(-VIEW_AGE_MS / STEP_MS) ?? 0) + sum(recent);
  };
  /** Chooses the best of three engines, as the best of all in an old view would get the requests of all nodes. */
  const chooseEngine = (node: number) => {
    const usable = [...engines.keys()].filter((index) => !engines[index]!.isLost);
    const choices = Array.from({ length: 3 }, () => {
      const index = usable[Math.floor(random() * usable.length)]!;
      return { index, waitMs: estimateWaitMs(index, node) };
    });
    return choices.reduce((best, other) => (other.waitMs < best.waitMs ? other : best));
  };
  const createDemand = ({ kind, account, workMs }: SiteRequest): RequestDemand => ({
    route: kind.name,
    account: `${account}`,
    priority: kind.priority,
    targetLatencyMs: kind.targetMs,
    ownMs: workMs,
    work: { prefillMs: workMs, memoryMs: 0, slotMs: 0 },
  });
  const capacity = () => engines.filter(({ isLost }) => !isLost).length / NODES;
  const decide = (
    request: SiteRequest,
    node: number,
    waitMs: number,
    isHeld: boolean,
  ): AdmissionDecision => {
    const { meters, queue } = nodes[node]!;
    const { kind, workMs } = request;
    const { priority } = kind;
    const demand = createDemand(request);
    const input = {
      expectedMs: waitMs + workMs,
      ownMs: workMs,
      targetLatencyMs: kind.targetMs,
      elapsedMs: nowMs - request.atMs,
      remainingMs: TIME_LIMIT_MS - (nowMs - request.firstAtMs),
      priority,
      randomFraction: random(),
    };
    if (policy === 'naive') return { type: 'admit', headroomMs: undefined };
    if (policy === 'isolated') return decideAdmission(input);
    return decideAdmission({
      ...input,
      typicalOwnMs: meters.getTypicalOwnMs(demand),
      urgent: meters.findUrgentDemand(priority, capacity(), nowMs),
      isHeld,
      lessUrgent: meters.findLessUrgentWork(priority, nowMs),
      isOverShare: meters.isOverShare(demand.account, priority, nowMs),
      hold: {
        aheadMs: queue.getWorkAheadMs(priority) / capacity(),
        patienceMs: getPatienceMs(request),
      },
    });
  };
  const send = (request: SiteRequest, node: number, engine: number) => {
    engines[engine]!.queue.push({ request, node, sentAtMs: nowMs });
    nodes[node]!.meters.recordAdmission(createDemand(request), nowMs);
  };
  const refuse = (request: SiteRequest, delayMs: number) => {
    request.tries += 1;
    const isRepeated = request.account === 0 && scenario.repeats !== undefined;
    if (request.tries >= (isRepeated ? scenario.repeats : MAX_TRIES)) return;
    const nextAtMs = nowMs + (isRepeated ? 20 : delayMs);
    arrivals.push({ ...request, atMs: nextAtMs });
  };
  const handleArrival = (request: SiteRequest) => {
    // A caller that repeats at once may keep its connection.
    const node = Math.floor((request.firstAtMs * 7.31 + request.account) % NODES);
    const state = nodes[node]!;
    const { index, waitMs } = chooseEngine(node);
    const repeatMs = state.refusals.findRemainingMs(request.key, nowMs);
    if (policy === 'shared' && repeatMs !== undefined && waitMs > 25)
      return refuse(request, repeatMs);
    state.meters.recordArrival(createDemand(request), nowMs);
    const decision = decide(request, node, waitMs, false);
    if (decision.type === 'admit') return send(request, node, index);
    const { priority, targetMs } = request.kind;
    const remainingMs = TIME_LIMIT_MS - (nowMs - request.firstAtMs);
    if (decision.type === 'hold') {
      state.queue.add(
        {
          id: request.key,
          account: `${request.account}` as AccountId,
          priority,
          tokens: request.workMs * 125,
          workMs: request.workMs,
          bytes: 0,
          timelyUntilMs: request.atMs + targetMs - request.workMs,
          endAtMs: request.atMs + getPatienceMs(request) - request.workMs - 300,
          request,
        },
        nowMs,
      );
      return undefined;
    }
    const planned = state.schedule.plan(
      {
        priority,
        drainMs: decision.drainMs,
        workMs: request.workMs,
        capacity: capacity(),
        remainingMs,
        randomFraction: random(),
      },
      nowMs,
    );
    const delayMs = policy === 'shared' ? planned : decision.retryAfterMs;
    state.refusals.record(request.key, delayMs, nowMs);
    return refuse(request, delayMs);
  };
  const pulse = (node: number) => {
    const { queue } = nodes[node]!;
    for (const { request } of queue.takeExpired(nowMs)) refuse(request, 1_000);
    let engine = 0;
    const hasRoom = ({ request }: Held) => {
      const { index, waitMs } = chooseEngine(node);
      engine = index;
      return decide(request, node, waitMs, true).type === 'admit';
    };
    const held = queue.size === 0 ? undefined : queue.take(hasRoom, capacity(), nowMs);
    if (held !== undefined) send(held.request, node, engine);
  };
  const runEngine = (index: number) => {
    const engine = engines[index]!;
    while (!engine.isLost && engine.busyUntilMs <= nowMs && engine.queue.length > 0) {
      const job = engine.queue.reduce((first, other) =>
        other.request.kind.priority < first.request.kind.priority ? other : first,
      );
      engine.queue.splice(engine.queue.indexOf(job), 1);
      const { request } = job;
      const firstEventAtMs = Math.max(nowMs, engine.busyUntilMs) + request.workMs;
      if (nowMs - request.atMs > getPatienceMs(request)) continue;
      engine.busyUntilMs = firstEventAtMs;
      const latencyMs = firstEventAtMs - request.atMs;
      if (latencyMs > getPatienceMs(request)) continue;
      const isInTime = firstEventAtMs - request.firstAtMs <= request.kind.targetMs;
      for (const tally of listTallies(request)) tally[isInTime ? 'inTime' : 'late'] += 1;
    }
    const queuedMs = engine.queue.reduce((sum, { request }) => sum + request.workMs, 0);
    engine.seen.push(queuedMs + Math.max(0, engine.busyUntilMs - nowMs));
  };

  for (; nowMs < DURATION_MS + TIME_LIMIT_MS; nowMs += STEP_MS) {
    for (const kind of nowMs < DURATION_MS ? scenario.kinds : []) {
      let expected = (kind.getRate(nowMs) * STEP_MS) / 1_000;
      for (; random() < expected; expected -= 1) {
        const isFirst = random() < (scenario.firstAccountShare ?? 1 / ACCOUNTS);
        const isLarge = random() < 0.1;
        const request: SiteRequest = {
          kind,
          account: isFirst ? 0 : 1 + Math.floor(random() * (ACCOUNTS - 1)),
          key: `${random()}`,
          workMs: kind.workMs * (isLarge ? LARGE_FACTOR : 2 / 3),
          isLarge,
          firstAtMs: nowMs + random() * STEP_MS,
          atMs: nowMs,
          tries: 0,
        };
        arrivals.push(request);
        for (const tally of listTallies(request)) tally.offered += 1;
      }
    }
    for (const request of arrivals.splice(0)) {
      if (request.atMs > nowMs) arrivals.push(request);
      else handleArrival(request);
    }
    for (const [index, engine] of engines.entries()) {
      if (nowMs === 3_000 && index < (scenario.lostEngines ?? 0)) engine.isLost = true;
      runEngine(index);
    }
    if (policy === 'shared')
      for (
        let node = (nowMs / STEP_MS) % (PULSE_MS / STEP_MS);
        node < NODES;
        node += PULSE_MS / STEP_MS
      )
        pulse(node);
  }
  return tallies;
};
