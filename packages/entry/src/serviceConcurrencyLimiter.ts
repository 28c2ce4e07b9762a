import { FairQueue, RateMeter, type QueueItem } from '@lovagearch/admission';
import type { CallerError } from '@lovagearch/common';
import type { RequestClass } from './types.js';

/** Interval at which the capacity of the endpoints is sampled. */
const SAMPLE_INTERVAL_MS = 100;
/** Queue time on the endpoints above which a node reduces its concurrency. */
const QUEUE_TIME_THRESHOLD_MS = 1_000;
/** Factor by which the concurrency is then multiplied at each sample. */
const CONCURRENCY_DECREASE_FACTOR = 0.9;

/** Capacity of a service's endpoints, as estimated by this node. */
export interface ServiceCapacity {
  /** Estimated queue time on the least loaded endpoint, in milliseconds. */
  readonly queueMs: number;
  /** Requests that this node can start now, in addition to those that it is running. */
  readonly freeSlots: number;
}

/** A queued request. It is settled once, by either `start` or `refuse`. */
export interface WaitingRequest extends QueueItem {
  readonly queueClass: RequestClass;
  readonly start: () => void;
  readonly refuse: (error: CallerError) => void;
}

/** Request queue and adaptive concurrency limit of one service on this node. */
export class ServiceConcurrencyLimiter {
  readonly queue = FairQueue.create<WaitingRequest>();

  private readonly completionRate: RateMeter;

  private running = 0;

  private concurrencyLimit = 1;

  private capacity: ServiceCapacity = { queueMs: 0, freeSlots: 0 };

  private lastSampleMs = -Infinity;

  private constructor(nowMs: number) {
    this.completionRate = RateMeter.create(nowMs);
  }

  static create(nowMs: number): ServiceConcurrencyLimiter {
    return new ServiceConcurrencyLimiter(nowMs);
  }

  /** Samples the capacity and adjusts the concurrency limit, at most every 100 ms. */
  updateCapacity(readCapacity: () => ServiceCapacity, nowMs: number): void {
    if (nowMs - this.lastSampleMs < SAMPLE_INTERVAL_MS) return;
    this.lastSampleMs = nowMs;
    this.capacity = readCapacity();
    const { freeSlots, queueMs } = this.capacity;
    // At least one request may always run, so that an outdated load report can't block a service.
    this.concurrencyLimit =
      queueMs > QUEUE_TIME_THRESHOLD_MS
        ? Math.max(1, Math.floor(this.running * CONCURRENCY_DECREASE_FACTOR))
        : Math.max(1, this.running + Math.floor(freeSlots));
  }

  hasFreeSlot(): boolean {
    return this.running < this.concurrencyLimit;
  }

  recordStart(): void {
    this.running++;
  }

  recordEnd(nowMs: number): void {
    this.running--;
    this.completionRate.add(1, nowMs);
  }

  /**
   * Returns the completed requests per second. The number of free slots is the lower bound, so that
   * a service that has not completed a request yet is not taken to be slow.
   */
  getCompletionsPerSecond(nowMs: number): number {
    return Math.max(
      this.completionRate.getPerSecond(nowMs),
      this.concurrencyLimit - this.running,
      0.1,
    );
  }

  getQueueMs(): number {
    return this.capacity.queueMs;
  }
}
