import type { IncomingMessage } from 'node:http';

export type BodyResult =
  | { readonly type: 'aborted' }
  | { readonly type: 'body'; readonly body: Buffer | undefined }
  | { readonly type: 'no_memory' }
  | { readonly type: 'too_large' };

/** Limits the total size of the request bodies buffered in this process. */
export class BodyMemoryBudget {
  private usedBytes = 0;

  private constructor(private readonly maxBytes: number) {}

  static create(maxBytes: number): BodyMemoryBudget {
    return new BodyMemoryBudget(maxBytes);
  }

  tryReserve(bytes: number): boolean {
    if (this.usedBytes + bytes > this.maxBytes) return false;
    this.usedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.usedBytes = Math.max(0, this.usedBytes - bytes);
  }
}

/**
 * Reads and buffers the complete body, so that the request can be retried at another endpoint.
 *
 * @param maxBytes body size limit from the configuration
 * @returns `body` is undefined if the request has none
 */
export const readBody = (
  incoming: IncomingMessage,
  maxBytes: number,
  memory: BodyMemoryBudget,
): Promise<BodyResult> =>
  new Promise((resolve) => {
    const contentLength = incoming.headers['content-length'];
    if (contentLength === undefined && incoming.headers['transfer-encoding'] === undefined) {
      resolve({ type: 'body', body: undefined });
      return;
    }
    if (contentLength !== undefined && Number(contentLength) > maxBytes) {
      resolve({ type: 'too_large' });
      return;
    }
    const chunks: Buffer[] = [];
    let bytes = 0;
    let isSettled = false;
    const finish = (result: BodyResult) => {
      if (isSettled) return;
      isSettled = true;
      if (result.type !== 'body') {
        memory.release(bytes);
        chunks.length = 0;
      }
      resolve(result);
    };
    incoming.on('data', (chunk: Buffer) => {
      if (isSettled) return;
      if (bytes + chunk.length > maxBytes) finish({ type: 'too_large' });
      else if (!memory.tryReserve(chunk.length)) finish({ type: 'no_memory' });
      else {
        bytes += chunk.length;
        chunks.push(chunk);
      }
    });
    incoming.once('end', () => {
      const [first] = chunks;
      const body = chunks.length === 1 && first !== undefined ? first : Buffer.concat(chunks);
      finish({ type: 'body', body });
    });
    incoming.once('error', () => finish({ type: 'aborted' }));
    incoming.once('close', () => finish({ type: 'aborted' }));
  });
