import type { IncomingMessage } from 'node:http';

export type BodyResult =
  | { readonly type: 'aborted' }
  | { readonly type: 'body'; readonly body: Buffer | undefined }
  | { readonly type: 'no_memory' }
  | { readonly type: 'too_large' };

/** Bytes of bodies that wait in this process, all requests together. */
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
 * Reads a whole body, so that it can be sent to more than one endpoint.
 *
 * @param maxBytes limit of the configuration
 * @returns `body` is undefined if the request has none
 */
export const readBody = (
  incoming: IncomingMessage,
  maxBytes: number,
  memory: BodyMemoryBudget,
): Promise<BodyResult> =>
  new Promise((resolve) => {
    const declared = incoming.headers['content-length'];
    if (declared === undefined && incoming.headers['transfer-encoding'] === undefined) {
      resolve({ type: 'body', body: undefined });
      return;
    }
    if (declared !== undefined && Number(declared) > maxBytes) {
      resolve({ type: 'too_large' });
      return;
    }
    const chunks: Buffer[] = [];
    let bytes = 0;
    let isDone = false;
    const finish = (result: BodyResult) => {
      if (isDone) return;
      isDone = true;
      if (result.type !== 'body') {
        memory.release(bytes);
        chunks.length = 0;
      }
      resolve(result);
    };
    incoming.on('data', (chunk: Buffer) => {
      if (isDone) return;
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
