import type { AccountId } from '@lovagearch/common';
import { MAX_QUEUED_PER_ACCOUNT, QUANTUM_TOKENS_PER_ROUND } from './constants.js';
import type { QueueItem } from './types.js';

interface AccountQueue<Item> {
  readonly items: Item[];
  readonly deficit: number;
  /** Whether the account's quantum for the current round was added to its deficit counter. */
  readonly hasRoundQuantum: boolean;
}

/** Queue of one request class, served by deficit round robin over accounts. */
export class ClassQueue<Item extends QueueItem> {
  /** Accounts with queued requests in round-robin order; the first is served next. */
  private readonly accounts = new Map<AccountId, AccountQueue<Item>>();

  private count = 0;

  static create<Item extends QueueItem>(): ClassQueue<Item> {
    return new ClassQueue<Item>();
  }

  get size(): number {
    return this.count;
  }

  /** Enqueues a request; returns false if the queue of its account is full. */
  add(item: Item): boolean {
    const queue = this.accounts.get(item.account) ?? {
      items: [],
      deficit: 0,
      hasRoundQuantum: false,
    };
    if (queue.items.length >= MAX_QUEUED_PER_ACCOUNT) return false;
    queue.items.push(item);
    this.accounts.set(item.account, queue);
    this.count++;
    return true;
  }

  /**
   * Dequeues the next request.
   *
   * @param canRun whether a request may start now; if not, its account is skipped in this call
   */
  take(canRun: (item: Item) => boolean): Item | undefined {
    const blocked = new Set<AccountId>();
    while (blocked.size < this.accounts.size) {
      const [first] = this.accounts;
      if (first === undefined) return undefined;
      const [account, queue] = first;
      const [item] = queue.items;
      if (item === undefined || !canRun(item)) {
        blocked.add(account);
        // A blocked account must not accumulate credit and later run a long burst.
        this.moveToEnd(account, {
          ...queue,
          deficit: Math.min(queue.deficit, QUANTUM_TOKENS_PER_ROUND),
        });
        continue;
      }
      const deficit = queue.deficit + (queue.hasRoundQuantum ? 0 : QUANTUM_TOKENS_PER_ROUND);
      if (deficit >= item.cost) return this.takeFirst(account, queue, deficit);
      this.moveToEnd(account, { ...queue, deficit });
    }
    return undefined;
  }

  /** Removes a queued request; returns false if it is not in the queue. */
  remove(item: Item): boolean {
    const queue = this.accounts.get(item.account);
    const position = queue?.items.indexOf(item) ?? -1;
    if (queue === undefined || position < 0) return false;
    queue.items.splice(position, 1);
    this.count--;
    if (queue.items.length === 0) this.accounts.delete(item.account);
    return true;
  }

  /** Returns the number of queued requests of an account. */
  getAccountDepth(account: AccountId): number {
    return this.accounts.get(account)?.items.length ?? 0;
  }

  /** Returns the number of accounts with queued requests. */
  getAccountCount(): number {
    return this.accounts.size;
  }

  private takeFirst(
    account: AccountId,
    queue: AccountQueue<Item>,
    deficit: number,
  ): Item | undefined {
    const item = queue.items.shift();
    this.count--;
    // An account whose queue is empty loses its remaining credit.
    if (queue.items.length === 0) this.accounts.delete(account);
    else {
      const updated = { ...queue, deficit: deficit - (item?.cost ?? 0), hasRoundQuantum: true };
      // Map.set keeps the position of an existing key, so the account stays first until its credit
      // is used.
      this.accounts.set(account, updated);
    }
    return item;
  }

  /** Moves an account to the end of the round-robin order. */
  private moveToEnd(account: AccountId, queue: AccountQueue<Item>): void {
    this.accounts.delete(account);
    this.accounts.set(account, { ...queue, hasRoundQuantum: false });
  }
}
