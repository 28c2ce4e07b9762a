import { BoundedMap, MS_PER_SECOND } from '@lovagearch/common';
import { MAX_ACCOUNTS } from './constants.js';
import { computeLatencyLimitMs } from './decideAdmission.js';
import { computeFairShare } from './fairShare.js';
import { RateMeter } from './rateMeter.js';

/** Maximum number of kinds of requests of a service; deployments have about five. */
const MAX_KINDS = 256;
/** Time after its last request for which a kind is expected again; rare kinds come every few seconds at a node. */
const KIND_MEMORY_MS = 30_000;
/** Weight of a new request in the moving average of a kind's own processing time. */
const OWN_TIME_EWMA_WEIGHT = 0.1;
/** Maximum share of the endpoints that urgent kinds are expected to use; less urgent ones are never cut off. */
const MAX_URGENT_LOAD = 0.9;
/** Amount by which an account may exceed its fair share; the rates of a few requests per second are uncertain. */
const SHARE_TOLERANCE = 1.1;

/** What a request takes of an endpoint: the time for which it would use up each resource alone, in milliseconds. */
export interface EndpointWork {
  readonly prefillMs: number;
  readonly memoryMs: number;
  readonly slotMs: number;
}

export interface RequestDemand {
  readonly route: string;
  readonly account: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targetLatencyMs: number;
  /** Forecast time to the first byte without queueing, in milliseconds. */
  readonly ownMs: number;
  readonly work: EndpointWork;
}

/** What more urgent kinds of a service need. */
export interface UrgentDemand {
  /** Shortest wait that makes a request of one of the kinds late, in milliseconds. */
  readonly waitLimitMs: number;
  /** Share of the endpoints that the kinds are expected to use, from 0 to 1. */
  readonly load: number;
}

/** Less urgent work at the endpoints, which those with priorities start after urgent requests. */
export interface LessUrgentWork {
  /** Share of the admitted work, from 0 to 1. */
  readonly share: number;
  /** Usual time to the first byte of the largest kind, in milliseconds: one of them may be running. */
  readonly longestOwnMs: number;
}

interface KindDemand {
  readonly priority: number;
  readonly targetLatencyMs: number;
  readonly typicalOwnMs: number;
  readonly prefill: RateMeter;
  readonly memory: RateMeter;
  readonly slots: RateMeter;
  readonly admitted: RateMeter;
  readonly lastAtMs: number;
}

interface AccountDemand {
  readonly priority: number;
  readonly asked: RateMeter;
  readonly admitted: RateMeter;
}

/** Returns the time for which a request uses up the resource that it needs most of. */
export const getDominantMs = ({ prefillMs, memoryMs, slotMs }: EndpointWork): number =>
  Math.max(prefillMs, memoryMs, slotMs);

const createKindKey = (route: string, priority: number): string => `${priority} ${route}`;

/**
 * Demand for one service at this node, with exponential decay: by kind (route and priority) and by account. The
 * forecast of the next seconds is the present rate.
 *
 * @example
 * meters.recordArrival(demand, nowMs);
 * const urgent = meters.findUrgentDemand(demand.priority, capacity, nowMs);
 */
export class DemandMeters {
  private readonly kinds = BoundedMap.create<string, KindDemand>(MAX_KINDS);

  private readonly accounts = BoundedMap.create<string, AccountDemand>(MAX_ACCOUNTS);

  static create(): DemandMeters {
    return new DemandMeters();
  }

  /** Records a request once, before the decision about it. */
  recordArrival(demand: RequestDemand, nowMs: number): void {
    const { route, account, priority, targetLatencyMs, ownMs, work } = demand;
    const key = createKindKey(route, priority);
    const known = this.kinds.peek(key);
    const previousMs = known?.typicalOwnMs ?? ownMs;
    const kind: KindDemand = {
      priority,
      targetLatencyMs,
      typicalOwnMs: previousMs + (ownMs - previousMs) * OWN_TIME_EWMA_WEIGHT,
      prefill: known?.prefill ?? RateMeter.create(nowMs),
      memory: known?.memory ?? RateMeter.create(nowMs),
      slots: known?.slots ?? RateMeter.create(nowMs),
      admitted: known?.admitted ?? RateMeter.create(nowMs),
      lastAtMs: nowMs,
    };
    kind.prefill.add(work.prefillMs, nowMs);
    kind.memory.add(work.memoryMs, nowMs);
    kind.slots.add(work.slotMs, nowMs);
    this.kinds.set(key, kind);
    this.getAccount(account, priority, nowMs).asked.add(getDominantMs(work), nowMs);
  }

  /** Records that a request was admitted. */
  recordAdmission({ route, account, priority, work }: RequestDemand, nowMs: number): void {
    const kind = this.kinds.peek(createKindKey(route, priority));
    kind?.admitted.add(getDominantMs(work), nowMs);
    this.getAccount(account, priority, nowMs).admitted.add(getDominantMs(work), nowMs);
  }

  /** Returns the usual time to the first byte of a kind without queueing, in milliseconds. */
  getTypicalOwnMs({ route, priority }: RequestDemand): number | undefined {
    return this.kinds.peek(createKindKey(route, priority))?.typicalOwnMs;
  }

  /**
   * Returns the demand of all kinds that are more urgent than a priority; undefined if none was seen recently.
   *
   * @param capacity share of this node in the work of all endpoints, in milliseconds of work per millisecond
   */
  findUrgentDemand(priority: number, capacity: number, nowMs: number): UrgentDemand | undefined {
    let waitLimitMs = Number.POSITIVE_INFINITY;
    let [prefill, memory, slots] = [0, 0, 0];
    for (const kind of this.kinds.values()) {
      if (kind.priority >= priority || nowMs - kind.lastAtMs > KIND_MEMORY_MS) continue;
      const limitMs = computeLatencyLimitMs(kind.targetLatencyMs, kind.priority);
      waitLimitMs = Math.min(waitLimitMs, Math.max(limitMs / 2, limitMs - kind.typicalOwnMs));
      prefill += kind.prefill.getPerSecond(nowMs);
      memory += kind.memory.getPerSecond(nowMs);
      slots += kind.slots.getPerSecond(nowMs);
    }
    if (!Number.isFinite(waitLimitMs)) return undefined;
    const workPerMs = Math.max(prefill, memory, slots) / MS_PER_SECOND;
    return { waitLimitMs, load: Math.min(MAX_URGENT_LOAD, workPerMs / capacity) };
  }

  /** Returns which part of the admitted work is less urgent than a priority; undefined if there is none. */
  findLessUrgentWork(priority: number, nowMs: number): LessUrgentWork | undefined {
    let [total, lessUrgent, longestOwnMs] = [0, 0, 0];
    for (const kind of this.kinds.values()) {
      const rate = kind.admitted.getPerSecond(nowMs);
      total += rate;
      if (kind.priority <= priority || nowMs - kind.lastAtMs > KIND_MEMORY_MS) continue;
      lessUrgent += rate;
      longestOwnMs = Math.max(longestOwnMs, kind.typicalOwnMs);
    }
    return lessUrgent === 0 ? undefined : { share: lessUrgent / total, longestOwnMs };
  }

  /**
   * Returns whether more work of an account was admitted than its fair share of what was admitted of its priority:
   * equal shares of what the accounts ask for, with unused shares lent to the others.
   */
  isOverShare(account: string, priority: number, nowMs: number): boolean {
    const demands: number[] = [];
    let capacity = 0;
    for (const { priority: other, asked, admitted } of this.accounts.values()) {
      if (other !== priority) continue;
      demands.push(asked.getPerSecond(nowMs));
      capacity += admitted.getPerSecond(nowMs);
    }
    if (demands.length < 2) return false;
    const admitted = this.getAccount(account, priority, nowMs).admitted.getPerSecond(nowMs);
    return admitted > computeFairShare(demands, capacity) * SHARE_TOLERANCE;
  }

  private getAccount(account: string, priority: number, nowMs: number): AccountDemand {
    const key = `${priority} ${account}`;
    const known = this.accounts.get(key);
    if (known !== undefined) return known;
    const created: AccountDemand = {
      priority,
      asked: RateMeter.create(nowMs),
      admitted: RateMeter.create(nowMs),
    };
    this.accounts.set(key, created);
    return created;
  }
}
