/** Size of the first block of a body, in bytes; most bodies fit into it. */
export const MIN_BLOCK_BYTES = 1_024;
/** Size up to which the blocks of a body double, in bytes. */
export const MAX_BLOCK_BYTES = 262_144;
/** Bytes of a connection that are handled at a time. */
export const MAX_READ_BYTES = 16_384;
/** Chunks that a reader handles between two checks of its rate. */
export const CHUNKS_PER_LOT = 64;
/** Chunks that a body may have in any case, and per second; those of proper ones never wait for others. */
export const FREE_CHUNKS = 2_048;
export const FREE_CHUNKS_PER_S = 2_000;
/**
 * Further chunks that the process handles per second. Each costs a few microseconds, however few bytes it
 * holds.
 */
export const MAX_CHUNKS_PER_S = 100_000;
/** Further chunks that the process handles at once after a quiet time. */
export const MAX_CHUNKS_AT_ONCE = 4_096;
/** Bytes of a response beside its body that are accepted in any case, read buffers included. */
export const MAX_EXTRA_RESPONSE_BYTES = 1_048_576;
/**
 * Bytes on the wire for each byte that a body may have. Proper bodies come in few chunks; those of a body in
 * chunks of one byte would take six.
 */
export const WIRE_BYTES_PER_BODY_BYTE = 2;
/** Memory for bodies where no other budget is given, in bytes; a configuration object may have 64 MiB. */
export const DEFAULT_MEMORY_BYTES = 134_217_728;
/** Values in a JSON text, counted by its separators; the largest proper responses have about 200,000. */
export const MAX_JSON_VALUES = 1_000_000;
/** Idle time before the first TCP keep-alive probe, in milliseconds. */
export const TCP_KEEP_ALIVE_DELAY_MS = 1_000;
