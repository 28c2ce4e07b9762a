import type { Socket } from 'node:net';

/**
 * Returns the bytes that the kernel has not taken yet; the socket itself counts a write until all of it is taken.
 *
 * @example
 * const unsentBytes = readUnsentBytes(socket);
 */
export const readUnsentBytes = (socket: Socket): number => {
  const { _handle: handle } = socket as { _handle?: { writeQueueSize?: number } | null };
  return handle?.writeQueueSize ?? socket.writableLength;
};
