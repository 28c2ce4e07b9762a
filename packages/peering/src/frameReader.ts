import type { WebSocket } from 'ws';

/** Unread frames buffered per socket during the handshake; more close the connection. */
const MAX_BUFFERED_FRAMES = 256;

/** Why no frame could be read. */
export type FrameReadError = { readonly type: 'closed' } | { readonly type: 'timeout' };

type PendingRead = (result: Buffer | FrameReadError) => void;

/**
 * Reads individual frames from a socket during the handshake. Several frames may arrive in one turn
 * of the event loop, so frames without a pending read are buffered for later reads or `detach`.
 */
export class FrameReader {
  private readonly bufferedFrames: Buffer[] = [];

  private waiter: PendingRead | undefined;

  private constructor(private readonly socket: WebSocket) {}

  static create(socket: WebSocket): FrameReader {
    const reader = new FrameReader(socket);
    socket.on('message', reader.handleMessage);
    socket.on('close', reader.handleClose);
    return reader;
  }

  /** Returns the next frame, or an error if the socket closes or the timeout expires. */
  async read(timeoutMs: number): Promise<Buffer | FrameReadError> {
    const first = this.bufferedFrames.shift();
    if (first !== undefined) return first;
    if (this.socket.readyState !== this.socket.OPEN) return { type: 'closed' };
    let timer: NodeJS.Timeout | undefined;
    const result = await new Promise<Buffer | FrameReadError>((resolve) => {
      this.waiter = resolve;
      timer = setTimeout(() => resolve({ type: 'timeout' }), timeoutMs);
    });
    clearTimeout(timer);
    this.waiter = undefined;
    return result;
  }

  /** Removes the listeners and returns the frames that have not been read. */
  detach(): Buffer[] {
    this.socket.off('message', this.handleMessage);
    this.socket.off('close', this.handleClose);
    return this.bufferedFrames.splice(0);
  }

  private readonly handleMessage = (data: Buffer): void => {
    const { waiter } = this;
    this.waiter = undefined;
    if (waiter !== undefined) waiter(data);
    else if (this.bufferedFrames.length < MAX_BUFFERED_FRAMES) this.bufferedFrames.push(data);
    else this.socket.terminate();
  };

  private readonly handleClose = (): void => {
    this.waiter?.({ type: 'closed' });
  };
}
