import { createRandom } from '@lovagearch/common';
import { EndpointLinks } from './endpointLinks.js';
import { ProbePlan } from './probePlan.js';
import type { ConnectFailureCause, LinkState, ObservedEndpoint } from './types.js';

/** How a link or an endpoint treats this node at a moment. */
export type LinkMode =
  | { readonly type: 'open' }
  /** Nothing passes. */
  | { readonly type: 'cut'; readonly cause: ConnectFailureCause }
  /** New connections fail, and open ones carry responses. */
  | { readonly type: 'new_cut'; readonly cause: ConnectFailureCause }
  /** Connections open, and requests wait for their first byte. */
  | { readonly type: 'slow'; readonly firstByteMs: number };

export interface SimulatedDay {
  readonly endpoints: readonly ObservedEndpoint[];
  readonly getMode: (endpoint: ObservedEndpoint, nowMs: number) => LinkMode;
  /** Whether the endpoint answers peers. */
  readonly isHeardElsewhere: (endpoint: ObservedEndpoint, nowMs: number) => boolean;
  readonly endMs: number;
  readonly seed: number;
  /** Time between two requests of the node. */
  readonly requestIntervalMs?: number;
}

export interface StateChange {
  readonly key: string;
  readonly type: LinkState['type'];
  readonly atMs: number;
}

export interface SimulatedResult {
  readonly changes: readonly StateChange[];
  /** Clock readings of connections that were opened without a request. */
  readonly probes: readonly number[];
  /** Clock readings of requests, by endpoint. */
  readonly requests: ReadonlyMap<string, readonly number[]>;
  readonly getState: (key: string) => LinkState['type'];
}

const STEP_MS = 5;
const HOUSEKEEPING_MS = 200;
const OVERDUE_MS = 300;
const CONNECT_TIMEOUT_MS = 800;
const DIGEST_MS = 160;
const RESPONSE_MS = 150;
/** Share of the requests that need a new connection. */
const NEW_CONNECTION_SHARE = 0.3;

/** Simulates the requests of one node and its evidence, step by step. */
export const simulateDay = (day: SimulatedDay): SimulatedResult => {
  const random = createRandom(day.seed);
  const links = EndpointLinks.create();
  const plan = ProbePlan.create(random);
  const observed = day.endpoints.map((endpoint) => ({ ...endpoint }));
  const heardAtMs = new Map<string, number>();
  const events: { readonly atMs: number; readonly run: (nowMs: number) => void }[] = [];
  const changes: StateChange[] = [];
  const probes: number[] = [];
  const requests = new Map<string, number[]>();
  let needsReview = false;
  const schedule = (atMs: number, run: (nowMs: number) => void) => events.push({ atMs, run });

  const recordFailure = (
    { key, service }: ObservedEndpoint,
    cause: ConnectFailureCause,
    beganAtMs: number,
  ) => {
    links.recordConnectFailed(key, service, cause, beganAtMs);
    needsReview = true;
  };
  /** Opens a connection; `onOpen` is called if that succeeds. */
  const connect = (endpoint: ObservedEndpoint, beganAtMs: number, onOpen: () => void): void => {
    const { key, service } = endpoint;
    const mode = day.getMode(endpoint, beganAtMs);
    if (mode.type === 'open' || mode.type === 'slow') {
      schedule(beganAtMs + STEP_MS, (nowMs) => {
        links.recordConnected(key, service, nowMs);
        if (links.getState(key).type !== 'reachable') plan.recordSuccess({ key, service }, nowMs);
        needsReview = true;
        onOpen();
      });
    } else if (mode.cause === 'timeout') {
      schedule(beganAtMs + OVERDUE_MS, () => recordFailure(endpoint, mode.cause, beganAtMs));
      schedule(beganAtMs + CONNECT_TIMEOUT_MS, () => {
        recordFailure(endpoint, mode.cause, beganAtMs);
        plan.recordFailure(key);
      });
    } else {
      schedule(beganAtMs + STEP_MS, () => {
        recordFailure(endpoint, mode.cause, beganAtMs);
        plan.recordFailure(key);
      });
    }
  };
  /** Reads the response of a request, unless the link is cut at its end. */
  const respond = (endpoint: ObservedEndpoint, sentAtMs: number): void => {
    const mode = day.getMode(endpoint, sentAtMs);
    const firstByteMs = mode.type === 'slow' ? mode.firstByteMs : RESPONSE_MS / 2;
    for (const [afterMs, isEnd] of [
      [firstByteMs, false],
      [firstByteMs + RESPONSE_MS / 2, true],
    ] as const)
      schedule(sentAtMs + afterMs, (nowMs) => {
        if (day.getMode(endpoint, nowMs).type === 'cut') return;
        links.recordBytes(endpoint.key, endpoint.service, nowMs);
        if (isEnd) links.recordSettled(endpoint.key);
      });
  };
  const sendRequest = (nowMs: number): void => {
    const usable = observed.filter(({ key }) => links.getState(key).type === 'reachable');
    const endpoint = usable[Math.floor(random() * usable.length)];
    if (endpoint === undefined) return;
    links.recordSent(endpoint.key, endpoint.service, nowMs);
    requests.set(endpoint.key, [...(requests.get(endpoint.key) ?? []), nowMs]);
    if (random() < NEW_CONNECTION_SHARE) connect(endpoint, nowMs, () => respond(endpoint, nowMs));
    else respond(endpoint, nowMs);
  };
  const probe = (key: string, nowMs: number): void => {
    const endpoint = observed.find((candidate) => candidate.key === key);
    if (endpoint === undefined) return;
    probes.push(nowMs);
    connect(endpoint, nowMs, () => undefined);
  };
  const review = (nowMs: number): void => {
    const current = observed.map((endpoint) => ({
      ...endpoint,
      heardElsewhereAtMs: heardAtMs.get(endpoint.key) ?? Number.NEGATIVE_INFINITY,
    }));
    const found = links.review(current, nowMs);
    for (const { endpoint, to } of found.changes) {
      changes.push({ key: endpoint.key, type: to.type, atMs: nowMs });
      // Their requests go elsewhere.
      if (to.type === 'lost' || to.type === 'unanswered')
        for (let count = 0; count < 1_000; count += 1) links.recordSettled(endpoint.key);
    }
    for (const { endpoint } of found.toVerify) probe(endpoint.key, nowMs);
  };
  const probeDue = (nowMs: number): void => {
    const reached = new Set<string>();
    for (const { key, service } of observed)
      if (links.getState(key).type === 'reachable') reached.add(service);
    const targets = observed.flatMap(({ key, service }) => {
      const { type } = links.getState(key);
      if (type === 'reachable') return [];
      return [{ key, service, mayHaveEnded: type === 'unanswered' && reached.has(service) }];
    });
    for (const { key } of plan.selectDue(targets, nowMs)) probe(key, nowMs);
  };

  for (let nowMs = 0; nowMs < day.endMs; nowMs += STEP_MS) {
    const due = events.filter(({ atMs }) => atMs <= nowMs);
    for (const event of due) events.splice(events.indexOf(event), 1);
    for (const { run } of due) run(nowMs);
    if (nowMs % DIGEST_MS === 0)
      for (const endpoint of observed)
        if (day.isHeardElsewhere(endpoint, nowMs)) heardAtMs.set(endpoint.key, nowMs);
    if (nowMs % (day.requestIntervalMs ?? 30) === 0) sendRequest(nowMs);
    if (nowMs % HOUSEKEEPING_MS === 0 && links.needsReview(nowMs)) needsReview = true;
    if (needsReview) {
      needsReview = false;
      review(nowMs);
    }
    probeDue(nowMs);
  }
  return { changes, probes, requests, getState: (key) => links.getState(key).type };
};
