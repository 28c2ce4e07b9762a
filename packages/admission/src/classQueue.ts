import type { AccountId } from '@lovagearch/common';
import { MAX_QUEUED_PER_ACCOUNT, QUANTUM_TOKENS_PER_ROUND } from './constants.js';
import type { QueueItem } from './types.js';

interface AccountQueue<Item> {
  readonly items: Item[];
  readonly deficit: number;
  /** Whether the account's quantum of the running round was added. */
  readonly hasRoundQuantum: boolean;
}

/** Requests of one class, served by deficit round robin over accounts. */
export class ClassQueue<Item extends QueueItem> {
  /** Accounts with waiting requests, in the order of the round; the first is served next. */
  private readonly accounts = new Map<AccountId, AccountQueue<Item>>();

  private count = 0;

  static create<Item extends QueueItem>(): ClassQueue<Item> {
    return new ClassQueue<Item>();
  }

  get size(): number {
    return this.count;
  }

  /** Adds a request; false when the queue of its account is full. */
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
   * Takes the next request.
   *
   * @param canRun whether an account may start a request now; others keep their place
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
        // A blocked account must not save credit for a long burst.
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

  /** Removes a request that no longer waits. */
  remove(item: Item): boolean {
    const queue = this.accounts.get(item.account);
    const position = queue?.items.indexOf(item) ?? -1;
    if (queue === undefined || position < 0) return false;
    queue.items.splice(position, 1);
    this.count--;
    if (queue.items.length === 0) this.accounts.delete(item.account);
    return true;
  }

  /** Returns how many requests of an account wait. */
  getAccountDepth(account: AccountId): number {
    return this.accounts.get(account)?.items.length ?? 0;
  }

  /** Returns the number of accounts with waiting requests. */
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
    // An account without waiting requests keeps no credit.
    if (queue.items.length === 0) this.accounts.delete(account);
    else {
      const left = { ...queue, deficit: deficit - (item?.cost ?? 0), hasRoundQuantum: true };
      // Setting a known key keeps its place, so the account goes on until its credit is used.
      this.accounts.set(account, left);
    }
    return item;
  }

  /** Moves an account to the end of the round. */
  private moveToEnd(account: AccountId, queue: AccountQueue<Item>): void {
    this.accounts.delete(account);
    this.accounts.set(account, { ...queue, hasRoundQuantum: false });
  }
}
