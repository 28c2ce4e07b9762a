/**
 * Limits the memory that bodies occupy in this process, whoever sends them.
 *
 * @example
 * const memory = MemoryBudget.create(20 * 1_048_576);
 * if (!memory.tryReserve(4_096)) refuse();
 */
export class MemoryBudget {
  private usedBytes = 0;

  private constructor(private readonly maxBytes: number) {}

  /** @param maxBytes total of all reservations, in bytes */
  static create(maxBytes: number): MemoryBudget {
    return new MemoryBudget(maxBytes);
  }

  /** Largest total of all reservations, in bytes. */
  get limitBytes(): number {
    return this.maxBytes;
  }

  /** Bytes that are reserved now. */
  get reservedBytes(): number {
    return this.usedBytes;
  }

  /** Returns whether the bytes were reserved; each successful reservation has to be released. */
  tryReserve(bytes: number): boolean {
    if (this.usedBytes + bytes > this.maxBytes) return false;
    this.usedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.usedBytes = Math.max(0, this.usedBytes - bytes);
  }
}
