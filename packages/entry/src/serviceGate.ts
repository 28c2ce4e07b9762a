import { FairQueue, RateMeter, type QueueItem } from '@lovagearch/admission';
import type { CallerError } from '@lovagearch/common';
import type { RequestClass } from './types.js';

/** Time between two readings of the endpoints' capacity. */
const SAMPLE_MS = 100;
/** Queue time on the endpoints above which a node starts fewer requests at a time. */
const LONG_QUEUE_MS = 1_000;
/** Part by which it lowers its concurrency in each reading then. */
const DECREASE = 0.9;

/** Capacity of a service's endpoints as this node sees it. */
export interface ServiceCapacity {
  /** Estimated queue time on the endpoints, in milliseconds. */
  readonly queueMs: number;
  /** Requests that could start at once, beside those that this node runs. */
  readonly freeSlots: number;
}

/** A request that waits for its start. `start` and `refuse` each settle it once. */
export interface WaitingRequest extends QueueItem {
  readonly queueClass: RequestClass;
  readonly start: () => void;
  readonly refuse: (error: CallerError) => void;
}

/** Queue and concurrency of one service on this node. */
export class ServiceGate {
  readonly queue = FairQueue.create<WaitingRequest>();

  private readonly completions: RateMeter;

  private running = 0;

  private limit = 1;

  private capacity: ServiceCapacity = { queueMs: 0, freeSlots: 0 };

  private sampledMs = -Infinity;

  private constructor(nowMs: number) {
    this.completions = RateMeter.create(nowMs);
  }

  static create(nowMs: number): ServiceGate {
    return new ServiceGate(nowMs);
  }

  /** Applies a reading of the capacity, at most every 100 ms. */
  updateCapacity(readCapacity: () => ServiceCapacity, nowMs: number): void {
    if (nowMs - this.sampledMs < SAMPLE_MS) return;
    this.sampledMs = nowMs;
    this.capacity = readCapacity();
    const { freeSlots, queueMs } = this.capacity;
    // One request at a time is always tried, so that a lagging report can't stop a service.
    this.limit =
      queueMs > LONG_QUEUE_MS
        ? Math.max(1, Math.floor(this.running * DECREASE))
        : Math.max(1, this.running + Math.floor(freeSlots));
  }

  hasRoom(): boolean {
    return this.running < this.limit;
  }

  recordStart(): void {
    this.running++;
  }

  recordEnd(nowMs: number): void {
    this.running--;
    this.completions.add(1, nowMs);
  }

  /** Returns the completed requests a second; a service without any yet counts its slots. */
  getCompletionsPerSecond(nowMs: number): number {
    return Math.max(this.completions.getPerSecond(nowMs), this.limit - this.running, 0.1);
  }

  getQueueMs(): number {
    return this.capacity.queueMs;
  }
}
