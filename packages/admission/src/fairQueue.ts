import type { AccountId } from '@lovagearch/common';
import { ClassQueue } from './classQueue.js';
import { LOWER_CLASS_TURN_INTERVAL, MAX_QUEUED } from './constants.js';
import { QUEUE_CLASSES, type QueueClass, type QueueDepths, type QueueItem } from './types.js';

/**
 * Queue of one service's requests on a node. Higher classes are served first, except that one in ten
 * dequeues tries the lower classes first. Within a class, accounts are served by deficit round robin.
 *
 * @example
 * const queue = FairQueue.create<QueueItem>();
 * queue.add(item);
 * const next = queue.take(() => true);
 */
export class FairQueue<Item extends QueueItem> {
  private readonly classes: Readonly<Record<QueueClass, ClassQueue<Item>>> = {
    interactive: ClassQueue.create<Item>(),
    standard: ClassQueue.create<Item>(),
    background: ClassQueue.create<Item>(),
  };

  private turn = 0;

  private lowerClassTurn = 0;

  private constructor(private readonly maxQueued: number) {}

  static create<Item extends QueueItem>(maxQueued = MAX_QUEUED): FairQueue<Item> {
    return new FairQueue<Item>(maxQueued);
  }

  get size(): number {
    return QUEUE_CLASSES.reduce((sum, name) => sum + this.classes[name].size, 0);
  }

  /** Enqueues a request; returns false if the node's or the account's queue limit is reached. */
  add(item: Item): boolean {
    return this.size < this.maxQueued && this.classes[item.queueClass].add(item);
  }

  /** Dequeues the next request that may start now. */
  take(canRun: (item: Item) => boolean): Item | undefined {
    this.turn = (this.turn + 1) % LOWER_CLASS_TURN_INTERVAL;
    for (const name of this.getClassOrder()) {
      const item = this.classes[name].take(canRun);
      if (item !== undefined) return item;
    }
    return undefined;
  }

  /** Removes a queued request; returns false if it is not in the queue. */
  remove(item: Item): boolean {
    return this.classes[item.queueClass].remove(item);
  }

  getDepths(): QueueDepths {
    return {
      interactive: this.classes.interactive.size,
      standard: this.classes.standard.size,
      background: this.classes.background.size,
    };
  }

  /** Returns the number of an account's queued requests in one class. */
  getAccountDepth(account: AccountId, queueClass: QueueClass): number {
    return this.classes[queueClass].getAccountDepth(account);
  }

  /** Returns the number of accounts with queued requests in a class. */
  getAccountCount(queueClass: QueueClass): number {
    return this.classes[queueClass].getAccountCount();
  }

  private getClassOrder(): readonly QueueClass[] {
    if (this.turn !== 0) return QUEUE_CLASSES;
    // The lower classes alternate in going first, so that `standard` does not starve `background`.
    this.lowerClassTurn = (this.lowerClassTurn + 1) % 2;
    return this.lowerClassTurn === 0
      ? ['standard', 'background', 'interactive']
      : ['background', 'standard', 'interactive'];
  }
}
