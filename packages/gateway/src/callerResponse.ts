import type { ServerResponse } from 'node:http';
import type { MemoryBudget } from '@lovagearch/bounded-http';
import { MAX_SLOW_CALLER_CHECKS, SLOW_CALLER_CHECK_MS } from './constants.js';
import { ENDPOINT_RESULT } from './relay/relayHeaders.js';
import type { ResponseHead } from './types.js';
import { UnsentBytes } from './unsentBytes.js';

/** What a response depends on besides its connection. */
export interface CallerResponseDependencies {
  readonly isDraining: () => boolean;
  /** Memory for unsent bytes of all slow callers. */
  readonly unsentMemory: MemoryBudget;
  /** Called when a caller is disconnected that takes nothing of an unfinished response. */
  readonly onSlowCaller: () => void;
  /** Returns the headers that tell a peer where its response comes from; undefined for a caller of this node. */
  readonly createResultHeaders?: ((result: string) => readonly string[]) | undefined;
}

type CallerResponseHead = Pick<ResponseHead, 'callerHeaders' | 'status'>;

/**
 * The response to one caller. Its head is sent once; a retry of a broken stream appends to its body. If
 * the response can't be completed, the connection is closed, so that the caller can detect this.
 */
export class CallerResponse {
  private readonly unsent: UnsentBytes;

  private isWatchingClose = false;

  private readonly handleClose = (): void => this.unsent.remove(this.unsent.length);

  /** Resumes reading from the endpoint; undefined while that is not paused. */
  private resume: (() => void) | undefined;

  /** Unsent bytes up to which reading resumes. */
  private resumeBytes = 0;

  private checkTimer: NodeJS.Timeout | undefined;

  private checksWithoutProgress = 0;

  private constructor(
    private readonly response: ServerResponse,
    private readonly dependencies: CallerResponseDependencies,
  ) {
    this.unsent = UnsentBytes.create(dependencies.unsentMemory);
  }

  static create(
    response: ServerResponse,
    dependencies: CallerResponseDependencies,
  ): CallerResponse {
    return new CallerResponse(response, dependencies);
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
  start({ status, callerHeaders }: CallerResponseHead): void {
    this.response.writeHead(status, this.createHeaders(callerHeaders, ENDPOINT_RESULT));
  }

  /** Sends a complete response of an endpoint. */
  sendEndpointResponse({ status, callerHeaders }: CallerResponseHead, body: Buffer): void {
    this.sendComplete(status, callerHeaders, body, ENDPOINT_RESULT);
  }

  /**
   * Sends a response that a gateway created.
   *
   * @param result type of the error, or what else it tells a peer
   */
  sendLocalReply(status: number, headers: readonly string[], body: Buffer, result: string): void {
    this.sendComplete(status, headers, body, result);
  }

  /**
   * Appends bytes to the body.
   *
   * @param onDrained called when the caller has taken half of the unsent bytes, if the result is false
   * @returns false if the sender should pause until `onDrained` is called
   */
  write(bytes: Buffer, onDrained: () => void): boolean {
    const { length } = bytes;
    const state = this.unsent.add(length);
    this.watchReservation();
    this.response.write(bytes, () => this.handleTaken(length));
    if (state === 'added' || this.isClosed) return true;
    this.resume = onDrained;
    this.resumeBytes = this.unsent.length / 2;
    if (this.checkTimer === undefined) this.scheduleCheck();
    return false;
  }

  /** Ends a complete response. Its caller may take the rest later; the endpoint is done with it. */
  finish(): void {
    this.stopChecks();
    this.response.end();
  }

  private handleTaken(bytes: number): void {
    this.unsent.remove(bytes);
    this.watchReservation();
    this.checksWithoutProgress = 0;
    const { resume } = this;
    if (resume === undefined || this.unsent.length > this.resumeBytes) return;
    this.stopChecks();
    resume();
  }

  /** Bytes of a response that waits for its turn on a connection are not reported as taken if that is closed. */
  private watchReservation(): void {
    const { hasReservation } = this.unsent;
    if (hasReservation === this.isWatchingClose) return;
    this.isWatchingClose = hasReservation;
    const { socket } = this.response.req;
    if (!hasReservation) socket.off('close', this.handleClose);
    else if (socket.destroyed) this.handleClose();
    else socket.once('close', this.handleClose);
  }

  private scheduleCheck(): void {
    this.checkTimer = setTimeout(() => this.checkProgress(), SLOW_CALLER_CHECK_MS);
  }

  /** Disconnects a caller that takes nothing, as its endpoint can't go on. */
  private checkProgress(): void {
    if (this.isClosed) {
      this.stopChecks();
      return;
    }
    // The caller can't take a pipelined response before its turn.
    if (this.response.socket !== null) this.checksWithoutProgress += 1;
    if (this.checksWithoutProgress >= MAX_SLOW_CALLER_CHECKS) {
      this.dependencies.onSlowCaller();
      this.abort();
    } else this.scheduleCheck();
  }

  private stopChecks(): void {
    clearTimeout(this.checkTimer);
    this.checkTimer = undefined;
    this.checksWithoutProgress = 0;
    this.resume = undefined;
  }

  /** Closes the connection, so that the caller detects an incomplete response. */
  abort(): void {
    this.stopChecks();
    // To callers of HTTP/1.0, the end of the connection is that of the response; a reset is not.
    if (!this.response.chunkedEncoding) this.response.socket?.resetAndDestroy();
    this.response.destroy();
  }

  private createHeaders(headers: readonly string[], result: string): string[] {
    const { isDraining, createResultHeaders } = this.dependencies;
    const all = [...headers, ...(createResultHeaders?.(result) ?? [])];
    if (isDraining()) all.push('Connection', 'close');
    return all;
  }

  private sendComplete(
    status: number,
    headers: readonly string[],
    body: Buffer,
    result: string,
  ): void {
    if (this.hasStarted) {
      this.abort();
      return;
    }
    const all = this.createHeaders(headers, result);
    all.push('Content-Length', String(body.length));
    this.response.writeHead(status, all);
    this.response.end(body);
  }
}
