import type { ServerResponse } from 'node:http';
import {
  CALLER_BUFFER_BYTES,
  CALLER_STALL_TIMEOUT_MS,
  SSE_HEARTBEAT_MS,
} from './callerConstants.js';

/** Why the caller was lost: it closed the connection, or it stopped reading. */
export type CallerLoss = 'disconnected' | 'stalled';

export interface SseWriterOptions {
  readonly heartbeatMs?: number;
  readonly stallLimitMs?: number;
  readonly bufferBytes?: number;
}

/** Waits for the first of several events; `stop` ends the wait early. */
const waitForEvent = (
  response: ServerResponse,
  names: readonly string[],
): { readonly promise: Promise<void>; readonly stop: () => void } => {
  let stop: () => void = () => undefined;
  const promise = new Promise<void>((resolve) => {
    stop = () => {
      for (const name of names) response.off(name, stop);
      resolve();
    };
    for (const name of names) response.on(name, stop);
  });
  return { promise, stop };
};

/**
 * Writes server-sent events to one caller, with backpressure. About `bufferBytes` are buffered for
 * a slow caller, but no less than the socket's own buffer; further writes wait until the caller
 * reads. A caller that reads nothing for `stallLimitMs` is disconnected. Owns the heartbeat timer
 * and the stall timer.
 */
export class SseWriter {
  private readonly heartbeatTimer: NodeJS.Timeout;

  private loss: CallerLoss | undefined;

  private readonly lossListeners: (() => void)[] = [];

  private constructor(
    private readonly response: ServerResponse,
    private readonly bufferBytes: number,
    private readonly stallLimitMs: number,
    heartbeatMs: number,
  ) {
    this.heartbeatTimer = setInterval(() => this.writeHeartbeat(), heartbeatMs);
    if (response.destroyed) this.markLost('disconnected');
    response.on('close', () => this.markLost('disconnected'));
    // A connection reset may emit 'error' before 'close'; both mean that the caller is lost.
    response.on('error', () => this.markLost('disconnected'));
  }

  /** Sends the status line and headers, and starts the heartbeat. */
  static create(
    response: ServerResponse,
    headers: Readonly<Record<string, string>>,
    options: SseWriterOptions = {},
  ): SseWriter {
    response.writeHead(200, {
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-cache',
      ...headers,
    });
    response.flushHeaders();
    return new SseWriter(
      response,
      options.bufferBytes ?? CALLER_BUFFER_BYTES,
      options.stallLimitMs ?? CALLER_STALL_TIMEOUT_MS,
      options.heartbeatMs ?? SSE_HEARTBEAT_MS,
    );
  }

  /** Calls a listener once if the caller is lost before `end`; at once if it is already lost. */
  onLoss(listener: () => void): void {
    if (this.loss === undefined) this.lossListeners.push(listener);
    else listener();
  }

  /** Returns why the caller was lost; undefined if it wasn't. */
  getLoss(): CallerLoss | undefined {
    return this.loss;
  }

  /**
   * Writes one event; returns false once the caller is lost. `data` must not contain line breaks.
   */
  async write(event: { id?: string; event?: string; data: string }): Promise<boolean> {
    if (this.loss !== undefined) return false;
    const idLine = event.id === undefined ? '' : `id: ${event.id}\n`;
    const nameLine = event.event === undefined ? '' : `event: ${event.event}\n`;
    this.response.write(`${idLine}${nameLine}data: ${event.data}\n\n`);
    // Node.js emits `drain` only after a write that exceeded the socket's high-water mark.
    const { writableLength, writableNeedDrain } = this.response;
    if (writableLength > this.bufferBytes && writableNeedDrain) await this.waitForDrain();
    return this.loss === undefined;
  }

  /** Ends the response and stops the heartbeat. */
  end(): void {
    clearInterval(this.heartbeatTimer);
    this.lossListeners.length = 0;
    if (this.loss === undefined) this.response.end();
  }

  private writeHeartbeat(): void {
    if (this.loss === undefined && this.response.writableLength === 0) {
      this.response.write(': heartbeat\n\n');
    }
  }

  private async waitForDrain(): Promise<void> {
    const { promise, stop } = waitForEvent(this.response, ['drain', 'close']);
    const stallTimer = setTimeout(() => {
      this.markLost('stalled');
      this.response.destroy();
      stop();
    }, this.stallLimitMs);
    await promise;
    clearTimeout(stallTimer);
  }

  private markLost(loss: CallerLoss): void {
    clearInterval(this.heartbeatTimer);
    if (this.loss !== undefined || this.response.writableEnded) return;
    this.loss = loss;
    for (const listener of this.lossListeners.splice(0)) listener();
  }
}
