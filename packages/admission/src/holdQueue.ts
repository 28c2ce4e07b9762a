import type { AccountId } from '@lovagearch/common';
import { REQUEST_OVERHEAD_TOKENS } from './constants.js';
import { FairQueue } from './fairQueue.js';
import { QUEUE_CLASSES, type QueueClass, type QueueItem } from './types.js';

/** Priorities up to this one are taken before the less urgent ones. */
const MAX_URGENT_PRIORITY = 1;
/**
 * Rate at which a node releases requests, as a multiple of its equal share of the endpoints. Nodes see each other's
 * requests late; with 2, 85 nodes filled the endpoints beyond the wait that they all saw, and fewer were in time.
 */
const RELEASE_RATE_FACTOR = 1;
/** Requests for which room is sought at once; each search compares all endpoints. */
const MAX_CHECKS = 2;

/** A request that waits at this node for room at an endpoint. */
export interface HeldRequest {
  readonly id: string;
  readonly account: AccountId;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly tokens: number;
  /** Work at an endpoint, in milliseconds. */
  readonly workMs: number;
  readonly bytes: number;
  /** Clock reading after which the response would be late. */
  readonly timelyUntilMs: number;
  /** Clock reading after which the response would not reach the caller. */
  readonly endAtMs: number;
}

export interface HoldLimits {
  readonly maxCount: number;
  readonly maxBytes: number;
}

interface Entry<Request> extends QueueItem {
  readonly request: Request;
}

/**
 * Requests that wait at this node: those that can still be in time first, by priority, then by account in deficit round
 * robin. A late response is worth less than one in time, but more than a refusal, so late ones get the room that is left.
 *
 * @example
 * const queue = HoldQueue.create<HeldRequest>({ maxCount: 512, maxBytes: 4_000_000 });
 * queue.add(request, nowMs);
 * const next = queue.take((held) => hasRoom(held), capacity, nowMs);
 */
export class HoldQueue<Request extends HeldRequest> {
  private readonly queue: FairQueue<Entry<Request>>;

  private readonly entries = new Map<Request, Entry<Request>>();

  private readonly workMs: Record<QueueClass, number> = {
    interactive: 0,
    standard: 0,
    background: 0,
  };

  private bytes = 0;

  private nextReleaseAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly limits: HoldLimits) {
    this.queue = FairQueue.create(limits.maxCount);
  }

  static create<Request extends HeldRequest>(limits: HoldLimits): HoldQueue<Request> {
    return new HoldQueue<Request>(limits);
  }

  get size(): number {
    return this.entries.size;
  }

  /** Adds a request; returns false if the queue is full. */
  add(request: Request, nowMs: number): boolean {
    if (this.bytes + request.bytes > this.limits.maxBytes) return false;
    if (!this.queueEntry(request, this.chooseClass(request, nowMs))) return false;
    this.bytes += request.bytes;
    return true;
  }

  /** Removes a request that no longer waits; returns false if it is not in the queue. */
  remove(request: Request): boolean {
    const entry = this.entries.get(request);
    if (entry === undefined) return false;
    this.queue.remove(entry);
    this.release(entry);
    return true;
  }

  /** Removes the requests whose time has passed. */
  takeExpired(nowMs: number): Request[] {
    const expired = [...this.entries.keys()].filter(({ endAtMs }) => endAtMs <= nowMs);
    for (const request of expired) this.remove(request);
    return expired;
  }

  /**
   * Takes the next request that may be sent now.
   *
   * @param hasRoom whether there is room for a request
   * @param capacity share of this node in the work of all endpoints, in milliseconds of work per millisecond
   */
  take(
    hasRoom: (request: Request) => boolean,
    capacity: number,
    nowMs: number,
  ): Request | undefined {
    if (nowMs < this.nextReleaseAtMs) return undefined;
    this.updateClasses(nowMs);
    // The queue asks once a round, and a large request takes dozens of rounds.
    const known = new Map<Request, boolean>();
    const entry = this.queue.take(({ request }) => {
      const answer = known.get(request) ?? (known.size < MAX_CHECKS && hasRoom(request));
      known.set(request, answer);
      return answer;
    });
    if (entry === undefined) return undefined;
    this.release(entry);
    const { workMs } = entry.request;
    this.nextReleaseAtMs = nowMs + workMs / (capacity * RELEASE_RATE_FACTOR);
    return entry.request;
  }

  /** Returns the work that would be sent before a new request of a priority, in milliseconds. */
  getWorkAheadMs(priority: number): number {
    let aheadMs = this.workMs.interactive;
    if (priority > MAX_URGENT_PRIORITY) aheadMs += this.workMs.standard;
    return aheadMs;
  }

  private chooseClass({ priority, timelyUntilMs }: HeldRequest, nowMs: number): QueueClass {
    if (timelyUntilMs < nowMs) return 'background';
    return priority <= MAX_URGENT_PRIORITY ? 'interactive' : 'standard';
  }

  private queueEntry(request: Request, queueClass: QueueClass): boolean {
    const { id, account, tokens, workMs } = request;
    const entry = { id, account, queueClass, cost: tokens + REQUEST_OVERHEAD_TOKENS, request };
    if (!this.queue.add(entry)) return false;
    this.entries.set(request, entry);
    this.workMs[queueClass] += workMs;
    return true;
  }

  private updateClasses(nowMs: number): void {
    for (const [request, entry] of this.entries) {
      const queueClass = this.chooseClass(request, nowMs);
      if (queueClass === entry.queueClass) continue;
      this.queue.remove(entry);
      this.release(entry);
      if (this.queueEntry(request, queueClass)) this.bytes += request.bytes;
    }
  }

  private release({ request, queueClass }: Entry<Request>): void {
    this.entries.delete(request);
    this.bytes -= request.bytes;
    this.workMs[queueClass] -= request.workMs;
    if (QUEUE_CLASSES.every((name) => this.queue.getDepths()[name] === 0))
      for (const name of QUEUE_CLASSES) this.workMs[name] = 0;
  }
}
