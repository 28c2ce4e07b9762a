import type { ServerResponse } from 'node:http';
import { MAX_UNSENT_BYTES } from './constants.js';
import type { ResponseHead } from './types.js';

/**
 * The response to one caller. Its head is sent once; a retry of a broken stream appends to its body. If
 * the response can't be completed, the connection is closed, so that the caller can detect this.
 */
export class CallerResponse {
  private constructor(
    private readonly response: ServerResponse,
    private readonly isDraining: () => boolean,
  ) {}

  static create(response: ServerResponse, isDraining: () => boolean): CallerResponse {
    return new CallerResponse(response, isDraining);
  }

  /** Whether the response head has been sent. */
  get hasStarted(): boolean {
    return this.response.headersSent;
  }

  /** Whether the caller's connection is closed or the response has ended. */
  get isClosed(): boolean {
    return this.response.destroyed || this.response.writableEnded;
  }

  /** Sends the head of a response whose length is not known yet. */
  start(head: ResponseHead): void {
    this.response.writeHead(head.status, this.createHeaders(head.callerHeaders));
  }

  /** Sends a complete response of an endpoint. */
  sendEndpointResponse(head: ResponseHead, body: Buffer): void {
    this.sendComplete(head.status, head.callerHeaders, body);
  }

  /** Sends a response that the gateway itself created. */
  sendLocalReply(status: number, headers: readonly string[], body: Buffer): void {
    this.sendComplete(status, headers, body);
  }

  /**
   * Appends bytes to the body.
   *
   * @param onDrained called when the buffer has drained, if the result is false
   * @returns false if the sender should pause until `onDrained` is called
   */
  write(bytes: Buffer, onDrained: () => void): boolean {
    const isBelowHighWaterMark = this.response.write(bytes);
    if (isBelowHighWaterMark || this.response.writableLength < MAX_UNSENT_BYTES) return true;
    this.response.once('drain', onDrained);
    return false;
  }

  finish(): void {
    this.response.end();
  }

  /** Closes the connection, so that the caller detects an incomplete response. */
  abort(): void {
    // To callers of HTTP/1.0, the end of the connection is that of the response; a reset is not.
    if (!this.response.chunkedEncoding) this.response.socket?.resetAndDestroy();
    this.response.destroy();
  }

  private createHeaders(headers: readonly string[]): string[] {
    return this.isDraining() ? [...headers, 'Connection', 'close'] : [...headers];
  }

  private sendComplete(status: number, headers: readonly string[], body: Buffer): void {
    if (this.hasStarted) {
      this.abort();
      return;
    }
    const all = this.createHeaders(headers);
    all.push('Content-Length', String(body.length));
    this.response.writeHead(status, all);
    this.response.end(body);
  }
}
