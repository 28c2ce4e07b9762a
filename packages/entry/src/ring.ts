/** Ring buffer of fixed capacity, which overwrites its oldest entry. */
export class Ring<Entry> {
  private readonly slots: Entry[] = [];

  private next = 0;

  private constructor(private readonly capacity: number) {}

  static create<Entry>(capacity: number): Ring<Entry> {
    return new Ring<Entry>(capacity);
  }

  add(entry: Entry): void {
    this.slots[this.next] = entry;
    this.next = (this.next + 1) % this.capacity;
  }

  /** Returns the entries from oldest to newest. */
  list(): Entry[] {
    if (this.slots.length < this.capacity) return [...this.slots];
    return [...this.slots.slice(this.next), ...this.slots.slice(0, this.next)];
  }
}
