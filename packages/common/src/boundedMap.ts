/**
 * A map with a fixed capacity that evicts the least recently used entry.
 *
 * @example
 * const hints = BoundedMap.create<string, number>(1_000);
 * hints.set('a', 1);
 */
export class BoundedMap<Key, Value> {
  private readonly entries = new Map<Key, Value>();

  private constructor(readonly capacity: number) {}

  static create<Key, Value>(capacity: number): BoundedMap<Key, Value> {
    return new BoundedMap<Key, Value>(capacity);
  }

  get size(): number {
    return this.entries.size;
  }

  /** Returns the value and marks it as most recently used. */
  get(key: Key): Value | undefined {
    const value = this.entries.get(key);
    if (value === undefined) return undefined;
    this.entries.delete(key);
    this.entries.set(key, value);
    return value;
  }

  /** Returns the value without marking it as used. */
  peek(key: Key): Value | undefined {
    return this.entries.get(key);
  }

  has(key: Key): boolean {
    return this.entries.has(key);
  }

  set(key: Key, value: Value): void {
    this.entries.delete(key);
    this.entries.set(key, value);
    if (this.entries.size <= this.capacity) return;
    const oldest = this.entries.keys().next();
    if (!oldest.done) this.entries.delete(oldest.value);
  }

  delete(key: Key): boolean {
    return this.entries.delete(key);
  }

  keys(): IterableIterator<Key> {
    return this.entries.keys();
  }

  values(): IterableIterator<Value> {
    return this.entries.values();
  }

  [Symbol.iterator](): IterableIterator<[Key, Value]> {
    return this.entries.entries();
  }
}
