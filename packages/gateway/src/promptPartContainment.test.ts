import { chooseItem, createRandom, ManualClock, type Random } from '@lovagearch/common';
import { PART_CRASH_RETENTION_MS } from '@lovagearch/containment';
import t from 'tap';
import { PromptPartContainment } from './promptPartContainment.js';
import { createDependencies } from './testGateway.js';

const STEP_MS = 50;
const DURATION_MS = 45_000;
const PUBLISH_STEPS = 8;
/** Delay between a write of the shared table and its reading by another node. */
const MIN_READ_DELAY_MS = 200;
const MAX_READ_DELAY_MS = 1_500;
const ENDPOINT_COUNT = 6;
const RESTART_MS = 5_000;
/** Time after a disturbance from which the rules hold. */
const CONTACT_LIMIT_MS = 3_000;
const CRASHES_BEFORE_LIMIT = 5;
const MAX_LATE_SENDS = 3;
const FIRST_BAD_REQUEST_MS = 10_000;
const BAD_PART = 'bad';

interface Request {
  readonly fingerprint: string;
  readonly partIds: readonly string[];
  readonly isBad: boolean;
}

interface RunningRequest {
  readonly request: Request;
  readonly node: PromptPartContainment;
  readonly endsMs: number;
}

class SimulatedEndpoint {
  private downUntilMs = 0;

  private starts = 0;

  private running: RunningRequest[] = [];

  constructor(private readonly id: string) {}

  get startKey(): string {
    return `${this.id}/${this.starts}`;
  }

  isUp(nowMs: number): boolean {
    return nowMs >= this.downUntilMs;
  }

  add(running: RunningRequest): void {
    this.running.push(running);
  }

  /** Removes the requests that ended. */
  takeEnded(nowMs: number): RunningRequest[] {
    const ended = this.running.filter(({ endsMs }) => endsMs <= nowMs);
    this.running = this.running.filter(({ endsMs }) => endsMs > nowMs);
    return ended;
  }

  /** Removes the remaining requests; the endpoint is down for a while and then has another start. */
  crash(nowMs: number): RunningRequest[] {
    const interrupted = this.running;
    this.running = [];
    this.starts += 1;
    this.downUntilMs = nowMs + RESTART_MS;
    return interrupted;
  }
}

interface PendingRow {
  readonly key: string;
  readonly value: string;
  readonly version: number;
  readonly readAtMs: number;
  readonly reader: PromptPartContainment;
}

interface Outcome {
  readonly crashes: number;
  /** Sends of requests with the crashing part after the limit. */
  readonly lateSends: number;
  /** Sound requests that were refused although the crashes were over. */
  readonly lateRefusals: number;
  readonly lateSound: number;
}

/** Creates requests of eight accounts; sound and crashing ones share the first part of their account. */
const createRequests = (random: Random) => {
  let count = 0;
  const sessions = Array.from({ length: 60 }, (_, index) => `session-${index}`);
  return (isBad: boolean): Request => {
    count += 1;
    const account = isBad ? 0 : Math.floor(random() * 8);
    const session = chooseItem(sessions, random) ?? '';
    if (random() < 0.2) sessions[Math.floor(random() * sessions.length)] = `session-new-${count}`;
    const shared = random() < 0.5 ? [`${session}-${account}`] : [];
    const partIds = [`first-${account}`, ...(isBad ? [BAD_PART] : []), ...shared];
    return { fingerprint: `f-${count}`, partIds, isBad };
  };
};

/**
 * Simulates nodes, endpoints that crash under one prompt part and restart, and the shared table.
 *
 * @param otherCrashes probability per step that an endpoint crashes for another reason
 */
const simulateCrashes = async (
  seed: number,
  nodeCount: number,
  otherCrashes = 0,
): Promise<Outcome> => {
  const random = createRandom(seed);
  const clock = ManualClock.create();
  const nodes: PromptPartContainment[] = [];
  const pending: PendingRow[] = [];
  let version = 0;
  const log = {
    logStateChange: () => undefined,
    logRequest: () => undefined,
    logProblem: () => undefined,
    flush: () => undefined,
  };
  const write = async (key: string, value: unknown) => {
    version += 1;
    for (const reader of nodes) {
      const delayMs = MIN_READ_DELAY_MS + random() * (MAX_READ_DELAY_MS - MIN_READ_DELAY_MS);
      const readAtMs = clock.nowMs() + delayMs;
      pending.push({ key, value: JSON.stringify(value), version, readAtMs, reader });
    }
    return true;
  };
  const { rows } = createDependencies(new Map());
  for (let index = 0; index < nodeCount; index++) {
    nodes.push(
      PromptPartContainment.create({ nodeName: `n${index}`, shared: { write }, rows, clock, log }),
    );
  }
  const endpoints = Array.from(
    { length: ENDPOINT_COUNT },
    (_, index) => new SimulatedEndpoint(`i-${index}`),
  );
  const createRequest = createRequests(random);
  let crashes = 0;
  let fifthCrashMs = Number.POSITIVE_INFINITY;
  let lastCrashMs = Number.POSITIVE_INFINITY;
  let lateSends = 0;
  let lateRefusals = 0;
  let lateSound = 0;

  const crash = (endpoint: SimulatedEndpoint, cause: RunningRequest) => {
    const { startKey } = endpoint;
    crashes += 1;
    lastCrashMs = clock.nowMs();
    if (crashes === CRASHES_BEFORE_LIMIT) fifthCrashMs = clock.nowMs();
    for (const { node, request } of [cause, ...endpoint.crash(clock.nowMs())])
      node.recordInterruption(startKey, request);
  };
  const advance = (endpoint: SimulatedEndpoint) => {
    const ended = endpoint.takeEnded(clock.nowMs());
    for (const { node, request } of ended)
      if (!request.isBad) node.recordCompletion(request.partIds);
    const cause = ended.find(({ request }) => request.isBad);
    if (cause !== undefined) crash(endpoint, cause);
  };
  const crashAtRandom = (endpoint: SimulatedEndpoint) => {
    if (otherCrashes === 0 || random() >= otherCrashes || !endpoint.isUp(clock.nowMs())) return;
    const { startKey } = endpoint;
    for (const { node, request } of endpoint.crash(clock.nowMs()))
      node.recordInterruption(startKey, request);
  };
  const receive = (request: Request) => {
    const nowMs = clock.nowMs();
    const node = chooseItem(nodes, random);
    const endpoint = chooseItem(
      endpoints.filter((candidate) => candidate.isUp(nowMs)),
      random,
    );
    const limitFromMs = Math.min(fifthCrashMs, lastCrashMs) + 2 * CONTACT_LIMIT_MS;
    const isLate = !request.isBad && nowMs > limitFromMs;
    if (isLate) lateSound += 1;
    if (node?.checkRequest(request.partIds) !== undefined) {
      if (isLate) lateRefusals += 1;
      return;
    }
    if (node === undefined || endpoint === undefined) return;
    if (request.isBad && nowMs > fifthCrashMs + CONTACT_LIMIT_MS) lateSends += 1;
    const endsMs = nowMs + 100 + random() * (request.isBad ? 600 : 1_500);
    endpoint.add({ request, node, endsMs });
  };
  const publish = async (step: number) => {
    for (const [index, node] of nodes.entries())
      if ((step + index) % PUBLISH_STEPS === 0) await node.publish();
    for (const row of pending.splice(0)) {
      if (row.readAtMs > clock.nowMs()) pending.push(row);
      else row.reader.applyRow(row);
    }
  };

  for (let step = 0; clock.nowMs() < DURATION_MS; step++) {
    clock.addMs(STEP_MS);
    if (random() < 0.9) receive(createRequest(false));
    if (random() < 0.9) receive(createRequest(false));
    if (clock.nowMs() > FIRST_BAD_REQUEST_MS && random() < 0.15) receive(createRequest(true));
    for (const endpoint of endpoints) {
      advance(endpoint);
      crashAtRandom(endpoint);
    }
    await publish(step);
  }
  return { crashes, lateSends, lateRefusals, lateSound };
};

// Guards against the load of an incident: requests that differ but for one part arrive at all nodes.
for (const { nodeCount, seeds } of [
  { nodeCount: 1, seeds: 100 },
  { nodeCount: 9, seeds: 100 },
  { nodeCount: 40, seeds: 20 },
]) {
  t.test(
    `${nodeCount} nodes stop sending a crashing part and refuse no sound request`,
    async (t2) => {
      for (let seed = 1; seed <= seeds; seed++) {
        const outcome = await simulateCrashes(seed, nodeCount);
        const { lateSends, lateRefusals, lateSound } = outcome;
        const detail = { seed, ...outcome };
        if (lateSends > MAX_LATE_SENDS || lateRefusals > 0 || lateSound < 100)
          t2.fail(`seed ${seed} breaks a limit`, detail);
      }
      t2.pass(`${seeds} seeds`);
    },
  );
}

// Guards against a quarantine of sound parts, which no completed request clears once they are refused.
t.test('sound requests are not refused when endpoints crash for other reasons too', async (t2) => {
  for (let seed = 1; seed <= 100; seed++) {
    const outcome = await simulateCrashes(seed, 9, 0.01);
    if (outcome.lateRefusals > 0) t2.fail(`seed ${seed} refuses sound requests`, outcome);
  }
  t2.pass('100 seeds');
});

interface PublishedRow {
  readonly crashes: readonly (readonly [string, unknown])[];
  readonly completed: readonly (readonly [string, number])[];
}

/** Creates the containment of one node, with the events it logs and the rows it writes. */
const createNode = () => {
  const clock = ManualClock.create();
  const events: string[] = [];
  const written: PublishedRow[] = [];
  const { rows } = createDependencies(new Map());
  const containment = PromptPartContainment.create({
    nodeName: 'n1',
    shared: {
      write: async (_key, value) => {
        written.push(value as PublishedRow);
        return true;
      },
    },
    rows,
    clock,
    log: {
      logStateChange: (event) => events.push(event),
      logRequest: () => undefined,
      logProblem: () => undefined,
      flush: () => undefined,
    },
  });
  return { containment, clock, events, written };
};

/** Size of a row that the platform accepts, in bytes; values are sent as base64. */
const MAX_ROW_BYTES = 65_536;

// Guards against a row that the store rejects each time, so that other nodes never read of the crashes.
t.test('a row with many long prompts keeps to the size that the store accepts', async (t2) => {
  const { containment, written } = createNode();
  for (let crash = 0; crash < 40; crash++) {
    for (let request = 0; request < 20; request++) {
      const fingerprint = `f-${crash}-${request}`;
      const partIds = Array.from({ length: 64 }, (_, part) => `part-${crash}-${request}-${part}`);
      containment.recordInterruption(`i-${crash}/1`, { fingerprint, partIds });
    }
  }
  await containment.publish();
  const [row] = written;
  t2.ok(Buffer.from(JSON.stringify(row)).toString('base64').length < MAX_ROW_BYTES);
  t2.equal(row?.crashes[0]?.[0], 'i-39/1', 'the newest crash is in it');
});

// Guards against nodes that count a crash as new because another node published it once more.
t.test('a crash that has expired is not published again', async (t2) => {
  const { containment, clock, written } = createNode();
  containment.recordInterruption('i-old/1', { fingerprint: 'f1', partIds: ['a'] });
  await containment.publish();
  clock.addMs(PART_CRASH_RETENTION_MS + 1);
  containment.logChanges();
  containment.recordInterruption('i-new/1', { fingerprint: 'f2', partIds: ['a'] });
  await containment.publish();
  t2.strictSame(
    written.map(({ crashes }) => crashes.map(([endpointStart]) => endpointStart)),
    [['i-old/1'], ['i-new/1']],
  );
});

t.test('nothing is written without crashes', async (t2) => {
  const { containment, written } = createNode();
  containment.recordCompletion(['a']);
  await containment.publish();
  t2.equal(written.length, 0);
});

// Guards against a part that stays suspected at nodes without completed requests of their own.
t.test('a completed request is published once if other nodes suspect its parts', async (t2) => {
  const { containment, written } = createNode();
  for (const crash of [1, 2]) {
    const value = JSON.stringify({ crashes: [[`i-${crash}/1`, [['f', ['a']]]]], completed: [] });
    containment.applyRow({ key: `crashes/n${crash + 1}`, version: crash, value });
  }
  containment.recordCompletion(['a']);
  await containment.publish();
  containment.recordCompletion(['a']);
  await containment.publish();
  t2.strictSame(
    written.map(({ completed }) => completed.map(([partId]) => partId)),
    [['a']],
  );
});

t.test('a row that another node wrote in an unknown form is ignored', async (t2) => {
  const { containment, events } = createNode();
  containment.applyRow({ key: 'crashes/n2', version: 1, value: '{"crashes":7}' });
  t2.strictSame(events, ['row_rejected']);
});
