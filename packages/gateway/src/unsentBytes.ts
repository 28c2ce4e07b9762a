import type { MemoryBudget } from '@lovagearch/bounded-http';
import { MAX_SLOW_CALLER_BYTES, MAX_UNSENT_BYTES } from './constants.js';

/**
 * Bytes of one response that its caller has not taken. Some are always buffered; more, so that the endpoint is done
 * with a response whose caller reads slowly, as far as the memory for all slow callers allows.
 *
 * @example
 * if (unsent.add(bytes.length) === 'full') pauseReading();
 * response.write(bytes, () => unsent.remove(bytes.length));
 */
export class UnsentBytes {
  private bytes = 0;

  private reservedBytes = 0;

  private constructor(private readonly memory: MemoryBudget) {}

  /** @param memory budget that all slow callers of the process share */
  static create(memory: MemoryBudget): UnsentBytes {
    return new UnsentBytes(memory);
  }

  get length(): number {
    return this.bytes;
  }

  /** Whether the bytes occupy memory of the budget. */
  get hasReservation(): boolean {
    return this.reservedBytes > 0;
  }

  /** Counts bytes that are buffered; `full` if no more should follow before some are taken. */
  add(bytes: number): 'added' | 'full' {
    this.bytes += bytes;
    const missingBytes = this.bytes - MAX_UNSENT_BYTES - this.reservedBytes;
    if (missingBytes > 0) {
      if (!this.memory.tryReserve(missingBytes)) return 'full';
      this.reservedBytes += missingBytes;
    }
    return this.bytes >= MAX_SLOW_CALLER_BYTES ? 'full' : 'added';
  }

  /** Counts bytes that the caller has taken. */
  remove(bytes: number): void {
    this.bytes = Math.max(0, this.bytes - bytes);
    const neededBytes = Math.max(0, this.bytes - MAX_UNSENT_BYTES);
    if (neededBytes >= this.reservedBytes) return;
    this.memory.release(this.reservedBytes - neededBytes);
    this.reservedBytes = neededBytes;
  }
}
