import type { ServerResponse } from 'node:http';
import { MAX_UNSENT_BYTES } from './constants.js';
import type { ResponseHead } from './types.js';

/**
 * The answer to one caller. It is begun once; what follows a broken run is appended to it. An answer
 * that can't be completed ends with its connection, so that it never looks whole.
 */
export class CallerResponse {
  private constructor(
    private readonly response: ServerResponse,
    private readonly isDraining: () => boolean,
  ) {}

  static create(response: ServerResponse, isDraining: () => boolean): CallerResponse {
    return new CallerResponse(response, isDraining);
  }

  /** Whether the caller has received the head of an answer. */
  get hasStarted(): boolean {
    return this.response.headersSent;
  }

  /** Whether the caller's connection is gone or the answer has ended. */
  get isClosed(): boolean {
    return this.response.destroyed || this.response.writableEnded;
  }

  /** Begins an answer whose length is not known yet. */
  start(head: ResponseHead): void {
    this.response.writeHead(head.status, this.createHeaders(head.callerHeaders));
  }

  /** Sends a whole answer. */
  sendEndpointResponse(head: ResponseHead, body: Buffer): void {
    this.sendComplete(head.status, head.callerHeaders, body);
  }

  /** Sends an answer of this process. */
  sendLocalReply(status: number, headers: readonly string[], body: Buffer): void {
    this.sendComplete(status, headers, body);
  }

  /**
   * Appends bytes.
   *
   * @param onDrained called when the caller has taken enough to go on, if the result is false
   * @returns whether more may be sent at once
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

  /** Ends the connection, so that the caller sees that the answer is not complete. */
  abort(): void {
    this.response.destroy();
  }

  private createHeaders(headers: readonly string[]): string[] {
    return this.isDraining() ? [...headers, 'Connection', 'close'] : [...headers];
  }

  private sendComplete(status: number, headers: readonly string[], body: Buffer): void {
    const all = this.createHeaders(headers);
    all.push('Content-Length', String(body.length));
    this.response.writeHead(status, all);
    this.response.end(body);
  }
}
