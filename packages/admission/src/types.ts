import type { AccountId } from '@lovagearch/common';

/** Request classes, highest priority first. */
export const QUEUE_CLASSES = ['interactive', 'standard', 'background'] as const;
export type QueueClass = (typeof QUEUE_CLASSES)[number];

/** The attributes of a request that the queue needs. */
export interface QueueItem {
  readonly id: string;
  readonly account: AccountId;
  readonly queueClass: QueueClass;
  /** Estimated cost in tokens. */
  readonly cost: number;
}

/** Number of queued requests by class. */
export type QueueDepths = Readonly<Record<QueueClass, number>>;
