import { MIN_RETRY_AFTER_MS } from './constants.js';
import { QUEUE_CLASSES, type QueueClass, type QueueDepths } from './types.js';

/** Default request deadline of each class, in milliseconds. */
export const DEFAULT_DEADLINE_MS: Readonly<Record<QueueClass, number>> = {
  interactive: 10_000,
  standard: 30_000,
  background: 120_000,
};

/**
 * Maximum share of the deadline that the estimated wait may take. It is smaller for lower classes, so
 * that they are refused first as the wait grows.
 */
const MAX_WAIT_SHARE: Readonly<Record<QueueClass, number>> = {
  interactive: 0.9,
  standard: 0.7,
  background: 0.5,
};

export interface QueueWaitInput {
  readonly queueClass: QueueClass;
  readonly depths: QueueDepths;
  /** Queued requests of the same account in the same class. */
  readonly accountDepth: number;
  /** Accounts with queued requests in the same class. */
  readonly accountCount: number;
  /** Completion rate of the endpoints that this node uses. */
  readonly completionsPerSecond: number;
  /** Queueing delay at the endpoints, in milliseconds. */
  readonly endpointQueueMs: number;
}

/**
 * Estimates the time until a new request starts, in milliseconds. Within its class, a request waits
 * for the queued requests of its account, and in each round for one request of every other account.
 */
export const estimateQueueWaitMs = (input: QueueWaitInput): number => {
  const { queueClass, depths, accountDepth, accountCount, completionsPerSecond } = input;
  let ahead = Math.min(depths[queueClass], (accountDepth + 1) * Math.max(1, accountCount));
  for (const name of QUEUE_CLASSES) {
    if (name === queueClass) break;
    ahead += depths[name];
  }
  if (ahead === 0) return input.endpointQueueMs;
  if (completionsPerSecond <= 0) return Infinity;
  return input.endpointQueueMs + (ahead / completionsPerSecond) * 1_000;
};

export type ShedDecision =
  { readonly type: 'accept' } | { readonly type: 'refuse'; readonly retryAfterMs: number };

/**
 * Refuses a request that is not expected to meet its deadline. The retry-after delay is the time in
 * which, at the current completion rate, the wait shrinks to the allowed share of the deadline.
 */
export const decideLoadShedding = (
  queueClass: QueueClass,
  waitMs: number,
  deadlineMs: number,
): ShedDecision => {
  const allowedMs = deadlineMs * MAX_WAIT_SHARE[queueClass];
  if (waitMs <= allowedMs) return { type: 'accept' };
  const excessMs = Number.isFinite(waitMs) ? waitMs - allowedMs : deadlineMs;
  return { type: 'refuse', retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.ceil(excessMs)) };
};
