import type { AccountId } from '@lovagearch/common';
import { ClassQueue } from './classQueue.js';
import { LOWER_CLASS_TURN_INTERVAL, MAX_QUEUED } from './constants.js';
import { QUEUE_CLASSES, type QueueClass, type QueueDepths, type QueueItem } from './types.js';

/**
 * The waiting requests of one service on a node. Higher classes go first, but one of ten turns
 * goes to a lower class that waits. Within a class accounts are served by deficit round robin.
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

  /** Adds a request; false when a bound is reached. */
  add(item: Item): boolean {
    return this.size < this.maxQueued && this.classes[item.queueClass].add(item);
  }

  /** Takes the next request whose account may run one now. */
  take(canRun: (item: Item) => boolean): Item | undefined {
    this.turn = (this.turn + 1) % LOWER_CLASS_TURN_INTERVAL;
    for (const name of this.getClassOrder()) {
      const item = this.classes[name].take(canRun);
      if (item !== undefined) return item;
    }
    return undefined;
  }

  /** Removes a request that no longer waits. */
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

  /** Returns the number of an account's waiting requests of one class. */
  getAccountDepth(account: AccountId, queueClass: QueueClass): number {
    return this.classes[queueClass].getAccountDepth(account);
  }

  /** Returns the number of accounts that wait in a class. */
  getAccountCount(queueClass: QueueClass): number {
    return this.classes[queueClass].getAccountCount();
  }

  private getClassOrder(): readonly QueueClass[] {
    if (this.turn !== 0) return QUEUE_CLASSES;
    // The turns of lower classes alternate, so that `background` is not behind `standard` forever.
    this.lowerClassTurn = (this.lowerClassTurn + 1) % 2;
    return this.lowerClassTurn === 0
      ? ['standard', 'background', 'interactive']
      : ['background', 'standard', 'interactive'];
  }
}
