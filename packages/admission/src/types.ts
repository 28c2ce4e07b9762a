import type { AccountId } from '@lovagearch/common';

/** Classes in the order of service. */
export const QUEUE_CLASSES = ['interactive', 'standard', 'background'] as const;
export type QueueClass = (typeof QUEUE_CLASSES)[number];

/** A request as the queue sees it. */
export interface QueueItem {
  readonly id: string;
  readonly account: AccountId;
  readonly queueClass: QueueClass;
  /** Work in tokens. */
  readonly cost: number;
}

/** Counts of waiting requests by class. */
export type QueueDepths = Readonly<Record<QueueClass, number>>;
