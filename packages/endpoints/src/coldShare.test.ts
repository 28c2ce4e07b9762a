import { createRandom, MS_PER_SECOND } from '@lovagearch/common';
import t from 'tap';
import { computeColdShare, EndpointColdness, RequestRateLimit, type RateShare } from './index.js';

const NODE_COUNT = 85;
const SEEDS = 200;
const STEP_MS = 20;
const DURATION_MS = 20_000;
const LIMIT = { requestsPerS: 16, maxRequestsInSecond: 29 };
/** Time within which nodes learn of a change of the members, or of a cold endpoint after their restart. */
const MAX_VIEW_DELAY_MS = 3_000;

/** A node with its own view of the members, behind a link that can stand still. */
class SimulatedNode {
  limit = RequestRateLimit.create();

  coldness = EndpointColdness.create();

  share: RateShare;

  frozenUntilMs = 0;

  linkCutUntilMs = 0;

  /** Clock reading from which the node knows the members after a restart. */
  informedAtMs = 0;

  isMember = true;

  private readonly responses: { readonly sentAtMs: number; readonly atMs: number }[] = [];

  constructor(readonly name: string) {
    this.share = computeColdShare(LIMIT, 'i-1', name, undefined);
    this.restart(0, 0);
  }

  restart(nowMs: number, informedAtMs: number): void {
    this.limit = RequestRateLimit.create();
    this.limit.setColdLimit(LIMIT.requestsPerS);
    this.coldness = EndpointColdness.create();
    this.coldness.applyRegistration({ heartbeat: 1, warmupRemainingMs: 1e9 }, nowMs);
    this.responses.length = 0;
    this.informedAtMs = informedAtMs;
  }

  updateShare(names: readonly string[] | undefined): void {
    this.share = computeColdShare(LIMIT, 'i-1', this.name, names);
  }

  /** Returns the clock reading at which a request arrives at the endpoint, if the node sends one. */
  trySend(nowMs: number, random: () => number): number | undefined {
    for (const [index, { atMs, sentAtMs }] of [...this.responses.entries()].reverse()) {
      if (atMs > nowMs) continue;
      this.responses.splice(index, 1);
      this.coldness.recordResponse(undefined, true, 1e9, sentAtMs, nowMs);
    }
    const { coldness, limit, share } = this;
    if (!coldness.canSend(share.intervalMs, nowMs) || !limit.canSend(share, nowMs, random))
      return undefined;
    coldness.recordSent(nowMs);
    limit.recordSent(share, nowMs);
    const arrivedAtMs = Math.max(nowMs, this.linkCutUntilMs) + 1 + random() * 15;
    this.responses.push({ sentAtMs: nowMs, atMs: arrivedAtMs + 30 + random() * 800 });
    return arrivedAtMs;
  }
}

const countBusiestSecond = (times: readonly number[]): number => {
  const sorted = [...times].sort((a, b) => a - b);
  let most = 0;
  let first = 0;
  for (const [index, atMs] of sorted.entries()) {
    while (atMs - (sorted[first] ?? atMs) >= MS_PER_SECOND) first += 1;
    most = Math.max(most, index - first + 1);
  }
  return most;
};

/** Simulates one history of faults, and returns the arrivals at a cold endpoint. */
const simulateArrivals = (seed: number): number[] => {
  const random = createRandom(seed);
  const nodes = Array.from(
    { length: NODE_COUNT },
    (_, index) => new SimulatedNode(`edge-${index}`),
  );
  const arrivals: number[] = [];
  const faultAtMs = 4_000 + random() * 4_000;
  const fault = (['cut', 'restart', 'freeze'] as const)[seed % 3]!;
  const changes: { readonly atMs: number; readonly names: readonly string[] }[] = [];
  const recordMembers = (atMs: number) =>
    changes.push({ atMs, names: nodes.filter(({ isMember }) => isMember).map(({ name }) => name) });
  recordMembers(-MAX_VIEW_DELAY_MS);
  const viewDelayMs = new Map<string, number>();
  const known = new Map<string, readonly string[] | undefined>();
  let hasFailed = false;
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
    if (!hasFailed && nowMs >= faultAtMs) {
      hasFailed = true;
      for (const node of nodes) {
        if (random() >= 1 / 3) continue;
        const untilMs = nowMs + 2_000 + random() * 3_000;
        if (fault === 'cut') node.linkCutUntilMs = untilMs;
        if (fault !== 'cut') node.frozenUntilMs = fault === 'freeze' ? untilMs : nowMs + 500;
        if (fault === 'restart') node.restart(nowMs, nowMs + 500 + random() * MAX_VIEW_DELAY_MS);
      }
    }
    if (random() < 0.004) {
      nodes.push(new SimulatedNode(`new-${nowMs}`));
      recordMembers(nowMs);
    }
    if (random() < 0.004) {
      nodes[Math.floor(random() * nodes.length)]!.isMember = false;
      recordMembers(nowMs);
    }
    // All nodes fall silent together and return in a burst, so that unused allowances would add up.
    const isSilent = nowMs % 5_000 < 1_500;
    const demand = seed % 2 === 0 ? 1 : 0.05;
    for (const node of nodes) {
      if (!node.isMember || nowMs < node.frozenUntilMs || isSilent || random() >= demand) continue;
      const delayMs = viewDelayMs.get(node.name) ?? random() * MAX_VIEW_DELAY_MS;
      viewDelayMs.set(node.name, delayMs);
      const names =
        nowMs < node.informedAtMs
          ? undefined
          : changes.findLast(({ atMs }) => atMs + delayMs <= nowMs)?.names;
      if (!known.has(node.name) || known.get(node.name) !== names) {
        known.set(node.name, names);
        node.updateShare(names);
      }
      const arrivedAtMs = node.trySend(nowMs, random);
      if (arrivedAtMs !== undefined) arrivals.push(arrivedAtMs);
    }
  }
  return arrivals;
};

// Guards against nodes whose sum crashes a cold endpoint while a third is cut off, restarted or frozen, nodes join and
// leave, views differ, and requests wait behind a link.
t.test('a cold endpoint gets no more requests in a second than it bears', async (t2) => {
  let total = 0;
  let most = 0;
  for (let seed = 1; seed <= SEEDS; seed++) {
    const arrivals = simulateArrivals(seed);
    const busiest = countBusiestSecond(arrivals);
    total += arrivals.length;
    most = Math.max(most, busiest);
    if (busiest > LIMIT.maxRequestsInSecond)
      t2.fail(`seed ${seed}: ${busiest} requests in a second`);
  }
  const busyS = (DURATION_MS / MS_PER_SECOND) * 0.7 * SEEDS;
  t2.comment(`busiest second: ${most}, mean rate: ${(total / busyS).toFixed(1)} per second`);
  // Guards against shares that leave a cold endpoint unused.
  t2.ok(total / busyS >= 0.4 * LIMIT.requestsPerS, `${total} requests`);
});

// Guards against few nodes of which each sends twice in a second when all return together.
t.test('nodes that send at the same moments keep to the bound', async (t2) => {
  for (let nodeCount = 1; nodeCount <= 40; nodeCount++) {
    const names = Array.from({ length: nodeCount }, (_, index) => `edge-${index}`);
    const sends: number[] = [];
    for (const name of names) {
      const share = computeColdShare(LIMIT, 'i-1', name, names);
      if (share.type === 'probe') continue;
      const limit = RequestRateLimit.create();
      limit.setColdLimit(LIMIT.requestsPerS);
      for (let nowMs = 0; nowMs < 5_000; nowMs += 1) {
        if (!limit.canSend(share, nowMs, () => 0)) continue;
        limit.recordSent(share, nowMs);
        sends.push(nowMs);
      }
    }
    const busiest = countBusiestSecond(sends);
    t2.ok(busiest <= LIMIT.maxRequestsInSecond, `${nodeCount} nodes: ${busiest} in a second`);
  }
});
