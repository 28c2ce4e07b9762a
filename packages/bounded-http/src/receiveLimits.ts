import { DEFAULT_MEMORY_BYTES } from './constants.js';
import { MemoryBudget } from './memoryBudget.js';
import { ReadPacer } from './readPacer.js';

/** What the process as a whole may spend on what other parties send. */
export interface ReceiveLimits {
  readonly memory: MemoryBudget;
  readonly pacer: ReadPacer;
}

/**
 * Creates the limits of a process, to be shared by all its readers.
 *
 * @param memoryBytes memory for bodies, in bytes
 * @param pacer by default a new one; senders with a budget of their own share the processor time
 * @example
 * const limits = createReceiveLimits(20 * 1_048_576);
 */
export const createReceiveLimits = (
  memoryBytes = DEFAULT_MEMORY_BYTES,
  pacer = ReadPacer.create(),
): ReceiveLimits => ({ memory: MemoryBudget.create(memoryBytes), pacer });
