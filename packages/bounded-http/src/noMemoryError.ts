/** The memory of the process for bodies is in use. */
export class NoMemoryError extends Error {
  override readonly name = 'NoMemoryError';

  readonly code = 'no_memory';
}
