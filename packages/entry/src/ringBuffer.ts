/** Ring buffer of fixed capacity, which overwrites its oldest entry. */
export class RingBuffer<Entry> {
  private readonly slots: Entry[] = [];

  private nextIndex = 0;

  private constructor(private readonly capacity: number) {}

  static create<Entry>(capacity: number): RingBuffer<Entry> {
    return new RingBuffer<Entry>(capacity);
  }

  add(entry: Entry): void {
    this.slots[this.nextIndex] = entry;
    this.nextIndex = (this.nextIndex + 1) % this.capacity;
  }

  /** Returns the entries from oldest to newest. */
  list(): Entry[] {
    if (this.slots.length < this.capacity) return [...this.slots];
    return [...this.slots.slice(this.nextIndex), ...this.slots.slice(0, this.nextIndex)];
  }
}
