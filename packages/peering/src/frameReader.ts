import type { WebSocket } from 'ws';

/** Unread frames buffered per socket during the handshake; more close the connection. */
const MAX_EARLY_FRAMES = 256;

/** Why no frame could be read. */
export type FrameReadError = { readonly type: 'closed' } | { readonly type: 'timeout' };

type Waiter = (result: Buffer | FrameReadError) => void;

/**
 * Reads individual frames from a socket during the handshake. Several frames may arrive in one turn
 * of the event loop, so frames without a pending read are buffered for later reads or `detach`.
 */
export class FrameReader {
  private readonly early: Buffer[] = [];

  private waiter: Waiter | undefined;

  private constructor(private readonly socket: WebSocket) {}

  static create(socket: WebSocket): FrameReader {
    const reader = new FrameReader(socket);
    socket.on('message', reader.receive);
    socket.on('close', reader.stop);
    return reader;
  }

  /** Returns the next frame, or an error if the socket closes or the timeout expires. */
  async read(limitMs: number): Promise<Buffer | FrameReadError> {
    const first = this.early.shift();
    if (first !== undefined) return first;
    if (this.socket.readyState !== this.socket.OPEN) return { type: 'closed' };
    let timer: NodeJS.Timeout | undefined;
    const result = await new Promise<Buffer | FrameReadError>((resolve) => {
      this.waiter = resolve;
      timer = setTimeout(() => resolve({ type: 'timeout' }), limitMs);
    });
    clearTimeout(timer);
    this.waiter = undefined;
    return result;
  }

  /** Removes the listeners and returns the frames that have not been read. */
  takeRest(): Buffer[] {
    this.socket.off('message', this.receive);
    this.socket.off('close', this.stop);
    return this.early.splice(0);
  }

  private readonly receive = (data: Buffer): void => {
    const { waiter } = this;
    this.waiter = undefined;
    if (waiter !== undefined) waiter(data);
    else if (this.early.length < MAX_EARLY_FRAMES) this.early.push(data);
    else this.socket.terminate();
  };

  private readonly stop = (): void => {
    this.waiter?.({ type: 'closed' });
  };
}
