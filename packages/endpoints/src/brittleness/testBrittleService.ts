import { chooseItem, createRandom, type Random } from '@lovagearch/common';
import type { RejectionRisk, ServiceBrittleness } from '../index.js';
import { FALLS_FROM_MS, MEAN_WORK_MS, SimulatedEndpoint, SLOTS } from './testBrittleEndpoint.js';
import { EndpointView } from './testEndpointView.js';

const STEP_MS = 5;
/** Time from which endpoints say that they are brittle: the contact time of a deployment before they fall over. */
const BRITTLE_FROM_MS = FALLS_FROM_MS - 3_000;
const END_MS = 21_000;
const MAX_SENDS = 3;
const MAX_NODE_WAIT_MS = 250;
/** Interval at which the nodes of a zone exchange load reports, and their age up to which room is evident. */
const DIGEST_MS = 200;
const REPORT_MS = 300;
const ZONES = 3;
/** Largest probability of an arrival in one draw. */
const MAX_DRAW = 0.1;

/** A load on a brittle service; one load is what its endpoints take. */
export interface BrittleLoad {
  readonly nodeCount: number;
  readonly endpointCount: number;
  readonly rejectionsPerS: number;
  readonly loads: number;
  readonly isControlled: boolean;
  readonly seed: number;
}

interface Call {
  readonly id: string;
  readonly atMs: number;
  readonly node: Node;
  readonly tried: Set<Endpoint>;
}

interface Report {
  readonly load: number;
  readonly atMs: number;
}

interface Node {
  readonly name: string;
  readonly zone: number;
  readonly views: Map<Endpoint, EndpointView>;
  service: ServiceBrittleness | undefined;
}

type Endpoint = SimulatedEndpoint<Call>;

const getView = ({ views }: Node, endpoint: Endpoint): EndpointView => {
  const known = views.get(endpoint);
  if (known?.endpointId === endpoint.id) return known;
  const view = new EndpointView(endpoint.id);
  views.set(endpoint, view);
  return view;
};

class Simulation {
  readonly result = { falls: 0, served: 0, offered: 0, rejected: 0, capacity: 0 };

  private readonly random: Random;

  private readonly names: string[];

  private readonly nodes: Node[];

  private readonly endpoints: Endpoint[];

  /** Load reports that the nodes of a zone have exchanged, and those received since. */
  private readonly reports = new Map<string, Report>();

  private readonly newReports = new Map<string, Report>();

  private unplaced: Call[] = [];

  /** What happens in the next step, after the way between a node and an endpoint. */
  private next: (() => void)[] = [];

  private nowMs = 0;

  private callCount = 0;

  private readonly callsPerStep: number;

  constructor(private readonly load: BrittleLoad) {
    const { nodeCount, endpointCount, rejectionsPerS, loads, seed } = load;
    this.random = createRandom(seed);
    this.names = Array.from({ length: nodeCount }, (_, index) => `edge-${index}`);
    this.nodes = this.names.map((name, index) => ({
      name,
      zone: index % ZONES,
      views: new Map(),
      service: undefined,
    }));
    this.endpoints = Array.from(
      { length: endpointCount },
      (_, index) => new SimulatedEndpoint(`i-${index}`, rejectionsPerS),
    );
    this.callsPerStep = (loads * endpointCount * SLOTS * STEP_MS) / MEAN_WORK_MS;
    this.result.capacity = (endpointCount * SLOTS * (END_MS - BRITTLE_FROM_MS)) / MEAN_WORK_MS;
  }

  play(): void {
    for (; this.nowMs < END_MS; this.nowMs += STEP_MS) {
      for (const action of this.next.splice(0)) action();
      for (const endpoint of this.endpoints)
        for (const call of endpoint.work(this.nowMs, this.random))
          this.respond(call, endpoint, 'served');
      if (this.nowMs % DIGEST_MS === 0)
        for (const [key, report] of this.newReports) this.reports.set(key, report);
      this.addCalls();
      const { isControlled } = this.load;
      this.unplaced = this.unplaced.splice(0).filter((call) => {
        const isWaiting = isControlled && this.nowMs - call.atMs < MAX_NODE_WAIT_MS;
        return !this.place(call) && isWaiting;
      });
    }
  }

  private addCalls(): void {
    for (let rest = this.callsPerStep; rest > 0; rest -= MAX_DRAW) {
      const node = chooseItem(this.nodes, this.random);
      if (node === undefined || this.random() >= Math.min(rest, MAX_DRAW)) continue;
      this.callCount += 1;
      if (this.nowMs >= BRITTLE_FROM_MS) this.result.offered += 1;
      this.unplaced.push({
        id: String(this.callCount),
        atMs: this.nowMs,
        node,
        tried: new Set(),
      });
    }
  }

  private place(call: Call): boolean {
    const { nowMs, random } = this;
    const { node } = call;
    let best: { endpoint: Endpoint; cost: number } | undefined;
    for (const endpoint of this.endpoints) {
      const view = getView(node, endpoint);
      const isUsable = !endpoint.isDown(nowMs) && nowMs >= view.suspendedUntilMs;
      if (!isUsable || call.tried.has(endpoint)) continue;
      const risk = this.findRisk(node, endpoint);
      if (risk !== undefined && view.budget.findBlock(risk, nowMs, random) !== undefined) continue;
      const cost = Math.max(view.active, this.findReport(node, endpoint)?.load ?? 0) + random();
      if (cost < (best?.cost ?? Infinity)) best = { endpoint, cost };
    }
    if (best === undefined) return false;
    this.send(call, best.endpoint);
    return true;
  }

  private send(call: Call, endpoint: Endpoint): void {
    const { id } = endpoint;
    const view = getView(call.node, endpoint);
    const risk = this.findRisk(call.node, endpoint);
    if (risk !== undefined) view.budget.recordSent(call.id, risk, this.nowMs, this.random);
    view.active += 1;
    call.tried.add(endpoint);
    this.next.push(() => {
      if (endpoint.isDown(this.nowMs) || endpoint.id !== id) {
        this.lose(call, view);
        return;
      }
      if (endpoint.receive(call, this.nowMs) === 'accepted') return;
      this.result.rejected += 1;
      this.respond(call, endpoint, 'rejected');
      const lost = endpoint.fallIfOverrun(this.nowMs);
      if (lost === undefined) return;
      this.result.falls += 1;
      for (const lostCall of lost) this.lose(lostCall, getView(lostCall.node, endpoint));
    });
  }

  private lose(call: Call, view: EndpointView): void {
    this.next.push(() => {
      view.recordLoss(this.nowMs);
      if (call.tried.size < MAX_SENDS) this.unplaced.push(call);
    });
  }

  private respond(call: Call, endpoint: Endpoint, type: 'rejected' | 'served'): void {
    const { node } = call;
    const view = getView(node, endpoint);
    const isBrittle = this.nowMs >= BRITTLE_FROM_MS;
    const { load, id } = endpoint;
    this.next.push(() => {
      const { nowMs } = this;
      const { rejectionsPerS } = this.load;
      view.recordResponse(call.atMs, isBrittle ? rejectionsPerS : undefined, nowMs);
      if (isBrittle) node.service = { rejectionsPerS, atMs: nowMs };
      this.newReports.set(`${node.zone}/${id}`, { load, atMs: nowMs });
      if (type === 'served') {
        view.budget.recordAccepted(call.id);
        if (call.atMs >= BRITTLE_FROM_MS) this.result.served += 1;
        return;
      }
      view.budget.recordRejected(call.id, view.active, nowMs, this.random);
      if (call.tried.size < MAX_SENDS) this.unplaced.push(call);
    });
  }

  private findReport({ zone }: Node, { id }: Endpoint): Report | undefined {
    return this.reports.get(`${zone}/${id}`);
  }

  private findRisk(node: Node, endpoint: Endpoint): RejectionRisk | undefined {
    const { isControlled, nodeCount } = this.load;
    const view = getView(node, endpoint);
    const limit = view.brittleness.findLimit(node.service, this.nowMs);
    if (limit === undefined || !isControlled) return undefined;
    const report = this.findReport(node, endpoint);
    const isRecent = report !== undefined && this.nowMs - report.atMs < REPORT_MS;
    return {
      share: view.getShare(limit, node.name, this.names),
      active: view.active,
      heardAtMs: Math.max(view.heardAtMs, report?.atMs ?? 0),
      report:
        isRecent && report.load < SLOTS
          ? { freeSlots: SLOTS - report.load, reportedAtMs: report.atMs }
          : undefined,
      nodeCount,
      demandPerS: (this.callsPerStep * 1_000) / STEP_MS / nodeCount,
    };
  }
}

/** Simulates nodes that place the calls of one service on endpoints whose waiting rooms shrink. */
export const playBrittleService = (load: BrittleLoad): Simulation['result'] => {
  const simulation = new Simulation(load);
  simulation.play();
  return simulation.result;
};
