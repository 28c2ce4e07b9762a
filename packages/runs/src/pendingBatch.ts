import { MAX_PENDING_BYTES, MAX_PENDING_RECORDS, MAX_SEGMENT_BYTES } from './constants.js';

interface QueuedItem<Item> {
  readonly item: Item;
  readonly bytes: number;
}

/** Queue of records that wait for the next segment, bounded in number and bytes. */
export class PendingBatch<Item> {
  private queue: QueuedItem<Item>[] = [];

  private bytes = 0;

  static create<Item>(): PendingBatch<Item> {
    return new PendingBatch<Item>();
  }

  get size(): number {
    return this.queue.length;
  }

  /** Adds an item; returns false without adding it if a limit would be exceeded. */
  add(item: Item, bytes: number): boolean {
    if (this.queue.length >= MAX_PENDING_RECORDS) return false;
    if (this.bytes + bytes > MAX_PENDING_BYTES) return false;
    this.queue.push({ item, bytes });
    this.bytes += bytes;
    return true;
  }

  /**
   * Removes and returns the oldest items that fit into one segment, at least one if there is any.
   */
  takeSegment(): Item[] {
    let count = 0;
    let bytes = 0;
    for (const queued of this.queue) {
      if (count > 0 && bytes + queued.bytes > MAX_SEGMENT_BYTES) break;
      bytes += queued.bytes;
      count++;
    }
    const taken = this.queue.slice(0, count);
    this.queue = this.queue.slice(count);
    this.bytes -= bytes;
    return taken.map(({ item }) => item);
  }

  /** Removes and returns all items, for a shard that stops. */
  takeAll(): Item[] {
    const taken = this.queue;
    this.queue = [];
    this.bytes = 0;
    return taken.map(({ item }) => item);
  }
}
