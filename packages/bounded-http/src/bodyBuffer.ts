import { MAX_BLOCK_BYTES, MIN_BLOCK_BYTES } from './constants.js';
import type { MemoryBudget } from './memoryBudget.js';

export type AddResult = 'added' | 'no_memory' | 'too_large';

/**
 * Collects a body whose chunks may be as small as a byte. A chunk is copied into a block and not kept, as an object
 * for each chunk would take a hundred times the memory of its bytes.
 *
 * @example
 * const buffer = BodyBuffer.create(1_048_576, memory);
 * if (buffer.add(chunk) !== 'added') cancel();
 * const body = buffer.getBytes();
 * buffer.release();
 */
export class BodyBuffer {
  private blocks: Buffer[] = [];

  private bytesInLastBlock = 0;

  private bytes = 0;

  private reservedBytes = 0;

  private constructor(
    private readonly maxBytes: number,
    private readonly memory: MemoryBudget,
  ) {}

  /**
   * @param maxBytes limit of this body, in bytes
   * @param memory budget that all bodies of the process share
   */
  static create(maxBytes: number, memory: MemoryBudget): BodyBuffer {
    return new BodyBuffer(maxBytes, memory);
  }

  /** Number of bytes collected. */
  get length(): number {
    return this.bytes;
  }

  /** Copies a chunk; unless the result is `added`, the body is as before. */
  add(chunk: Buffer): AddResult {
    if (this.bytes + chunk.length > this.maxBytes) return 'too_large';
    const last = this.blocks.at(-1);
    const freeBytes = last === undefined ? 0 : last.length - this.bytesInLastBlock;
    const copiedBytes = Math.min(freeBytes, chunk.length);
    if (copiedBytes < chunk.length) {
      const block = this.tryCreateBlock(chunk.length - copiedBytes, copiedBytes);
      if (block === undefined) return 'no_memory';
      if (last !== undefined) chunk.copy(last, this.bytesInLastBlock, 0, copiedBytes);
      this.blocks.push(block);
      this.bytesInLastBlock = chunk.copy(block, 0, copiedBytes);
    } else if (last !== undefined) {
      chunk.copy(last, this.bytesInLastBlock);
      this.bytesInLastBlock += chunk.length;
    }
    this.bytes += chunk.length;
    return 'added';
  }

  /** Returns the bytes in one piece, which is valid until `release`. */
  getBytes(): Buffer {
    const [first] = this.blocks;
    if (first === undefined) return Buffer.alloc(0);
    if (this.blocks.length === 1) return first.subarray(0, this.bytes);
    const joined = Buffer.concat(this.blocks, this.bytes);
    this.blocks = [joined];
    this.bytesInLastBlock = joined.length;
    this.memory.release(this.reservedBytes - joined.length);
    this.reservedBytes = joined.length;
    return joined;
  }

  /** Discards the bytes and their reservation. The buffer can be used again. */
  release(): void {
    this.blocks = [];
    this.bytesInLastBlock = 0;
    this.bytes = 0;
    this.memory.release(this.reservedBytes);
    this.reservedBytes = 0;
  }

  /** Blocks double with the body, so that their number and their unused rest stay small beside its bytes. */
  private tryCreateBlock(minBytes: number, pendingBytes: number): Buffer | undefined {
    const wantedBytes = Math.min(Math.max(this.bytes, MIN_BLOCK_BYTES), MAX_BLOCK_BYTES);
    const blockBytes = Math.max(
      minBytes,
      Math.min(wantedBytes, this.maxBytes - this.bytes - pendingBytes),
    );
    if (!this.memory.tryReserve(blockBytes)) return undefined;
    this.reservedBytes += blockBytes;
    return Buffer.allocUnsafe(blockBytes);
  }
}
