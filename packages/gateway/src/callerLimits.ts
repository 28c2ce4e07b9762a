import {
  BODY_MEMORY_SHARE,
  CALLER_HEAP_SHARE,
  CALLER_MEMORY_SHARE,
  DEFAULT_MAX_FDS,
  ENDPOINT_FDS_SHARE,
  MAX_BODY_MEMORY_SHARE_OF_FREE,
  MIN_CALLER_CONNECTIONS,
  MIN_CALLER_MEMORY_BYTES,
  PROCESS_BYTES,
  RESERVED_FDS,
} from './constants.js';

/** What clients may hold in this process, on all listeners together. */
export interface CallerLimits {
  readonly maxConnections: number;
  /** Memory for connections, request heads, bytes sent ahead and unread responses, in bytes. */
  readonly memoryBytes: number;
  /** Memory for the bodies of requests, in bytes. */
  readonly bodyMemoryBytes: number;
}

export interface ProcessLimits {
  readonly memoryBytes: number;
  /** Size that the JavaScript heap may reach, in bytes. */
  readonly heapBytes: number;
  /** Files and sockets that the process may have open; undefined if the settings don't say it. */
  readonly maxFds: number | undefined;
}

/**
 * Derives what clients may hold from the limits of the process.
 *
 * @example
 * const limits = deriveCallerLimits({ memoryBytes: 200 * 1_048_576, heapBytes, maxFds: 1_024 });
 */
export const deriveCallerLimits = ({
  memoryBytes,
  heapBytes,
  maxFds = DEFAULT_MAX_FDS,
}: ProcessLimits): CallerLimits => {
  const freeBytes = Math.max(0, memoryBytes - PROCESS_BYTES);
  const sockets = Math.max(0, maxFds - RESERVED_FDS);
  return {
    maxConnections: Math.max(
      MIN_CALLER_CONNECTIONS,
      Math.floor(sockets * (1 - ENDPOINT_FDS_SHARE)),
    ),
    memoryBytes: Math.max(
      MIN_CALLER_MEMORY_BYTES,
      Math.min(freeBytes * CALLER_MEMORY_SHARE, heapBytes * CALLER_HEAP_SHARE),
    ),
    bodyMemoryBytes: Math.max(
      MIN_CALLER_MEMORY_BYTES,
      Math.min(memoryBytes * BODY_MEMORY_SHARE, freeBytes * MAX_BODY_MEMORY_SHARE_OF_FREE),
    ),
  };
};
