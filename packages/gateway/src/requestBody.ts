import type { IncomingMessage } from 'node:http';
import {
  BodyBuffer,
  type MemoryBudget,
  PacedReader,
  type ReadPacer,
} from '@lovagearch/bounded-http';

export type BodyResult =
  | { readonly type: 'aborted' }
  /** `release` frees the memory of the body. */
  | { readonly type: 'body'; readonly body: Buffer | undefined; readonly release: () => void }
  | { readonly type: 'no_memory' }
  | { readonly type: 'too_large' };

export interface BodyLimits {
  /** Limit of this body from the configuration, in bytes. */
  readonly maxBytes: number;
  readonly memory: MemoryBudget;
  readonly pacer: ReadPacer;
}

/**
 * Reads and buffers the complete body, so that the request can be retried at another endpoint.
 *
 * @returns `body` is undefined if the request has none
 * @example
 * const read = await readBody(incoming, { maxBytes, memory, pacer });
 * if (read.type === 'body') forward(read.body);
 */
export const readBody = (
  incoming: IncomingMessage,
  { maxBytes, memory, pacer }: BodyLimits,
): Promise<BodyResult> =>
  new Promise((resolve) => {
    const contentLength = incoming.headers['content-length'];
    if (contentLength === undefined && incoming.headers['transfer-encoding'] === undefined) {
      resolve({ type: 'body', body: undefined, release: () => undefined });
      return;
    }
    if (contentLength !== undefined && Number(contentLength) > maxBytes) {
      resolve({ type: 'too_large' });
      return;
    }
    const { socket } = incoming;
    const buffer = BodyBuffer.create(maxBytes, memory);
    // Pausing the request instead would buffer each further chunk as an object.
    const reader = PacedReader.create(pacer, {
      pause: () => socket.pause(),
      resume: () => socket.resume(),
    });
    let isSettled = false;
    const finish = (result: BodyResult) => {
      if (isSettled) return;
      isSettled = true;
      reader.finish();
      if (result.type !== 'body') buffer.release();
      resolve(result);
    };
    incoming.on('data', (chunk: Buffer) => {
      // The chunks of a refused body cost processor time as well.
      reader.recordChunks(1);
      if (isSettled) return;
      const added = buffer.add(chunk);
      if (added !== 'added') finish({ type: added });
    });
    incoming.once('end', () =>
      finish({ type: 'body', body: buffer.getBytes(), release: () => buffer.release() }),
    );
    incoming.once('error', () => finish({ type: 'aborted' }));
    incoming.once('close', () => finish({ type: 'aborted' }));
  });
