import { BodyBuffer, type MemoryBudget } from '@lovagearch/bounded-http';
import type { Clock } from '@lovagearch/common';
import type { ConnectionPool, EndpointRequest, Exchange, ResponseEnd } from '@lovagearch/exchange';
import type { RelayPeer } from '@lovagearch/relaying';
import type { CallerResponse } from '../callerResponse.js';
import { MAX_BUFFERED_RESPONSE_BYTES, MAX_REJECTION_BODY_BYTES } from '../constants.js';
import type { ResponseHead } from '../types.js';
import { MAX_RELAY_CONNECT_MS, MAX_RELAY_CONNECTIONS_PER_PEER } from './constants.js';
import { decodeCallerHeaders, ENDPOINT_RESULT, RELAY_RESULT_HEADER } from './relayHeaders.js';

/** A complete response that a peer created itself. */
export interface PeerReply {
  /** Type of the error, or another value of the result header. */
  readonly result: string;
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

export type RelayOutcome =
  /** The request may have run, and there is no complete response. */
  | {
      readonly type: 'broken';
      readonly reason: string;
      /** Whether the peer had begun to respond, so that an endpoint may have broken off instead of the peer. */
      readonly hasResponse: boolean;
    }
  /** No byte of the request reached the peer. */
  | { readonly type: 'not_sent'; readonly reason: string }
  | { readonly type: 'replied'; readonly reply: PeerReply }
  /** The response of an endpoint was passed on to the caller. */
  | { readonly type: 'served'; readonly status: number }
  | { readonly type: 'stopped' }
  /**
   * The response doesn't say what became of the request: the peer runs an earlier release, or refused the request before it
   * was read. Nothing was passed on.
   */
  | { readonly type: 'unmarked'; readonly status: number };

export interface RelaySendInput {
  readonly peer: RelayPeer;
  readonly request: EndpointRequest;
  /** Whether the response is passed on as it arrives. */
  readonly isStream: boolean;
  readonly callerResponse: CallerResponse;
  readonly onFirstByte: () => void;
}

export interface RelaySendDependencies {
  readonly pool: ConnectionPool;
  readonly clock: Clock;
  /** Memory for the responses of all requests. */
  readonly memory: MemoryBudget;
}

/**
 * One request of a caller on its way through a peer. Events are passed on as they arrive; other responses are buffered
 * until they are complete, unless they exceed the buffer limit.
 *
 * @example
 * const send = RelaySend.create(dependencies, input);
 * const outcome = await send.run();
 */
export class RelaySend {
  private exchange: Exchange | undefined;

  /** Where the response comes from; undefined until its head has arrived. */
  private origin: 'endpoint' | 'peer' | undefined;

  private status = 0;

  private result = '';

  private callerHeaders: readonly string[] = [];

  /** The body so far; undefined once it is passed on as it arrives. */
  private bufferedBody: BodyBuffer | undefined;

  private isFinished = false;

  private resolve: (outcome: RelayOutcome) => void = () => undefined;

  private constructor(
    private readonly dependencies: RelaySendDependencies,
    private readonly input: RelaySendInput,
  ) {
    this.bufferedBody = BodyBuffer.create(MAX_BUFFERED_RESPONSE_BYTES, dependencies.memory);
  }

  static create(dependencies: RelaySendDependencies, input: RelaySendInput): RelaySend {
    return new RelaySend(dependencies, input);
  }

  /** Whether the peer may have received a part of the request. */
  get wasSent(): boolean {
    return this.exchange?.isSent ?? false;
  }

  /** Sends the request and waits until the exchange has ended. */
  run(): Promise<RelayOutcome> {
    return new Promise((resolve) => {
      this.resolve = resolve;
      this.start();
    });
  }

  /** Ends the exchange; the peer sees that the caller has left. */
  stop(): void {
    this.finish({ type: 'stopped' });
  }

  private start(): void {
    const { peer, request } = this.input;
    const { clock } = this.dependencies;
    const startMs = clock.nowMs();
    this.exchange = this.dependencies.pool.send(
      `${peer.name}@${peer.address}`,
      peer.address,
      MAX_RELAY_CONNECTIONS_PER_PEER,
      request,
      {
        // The time limit in the headers is that of the start.
        canSend: () => !this.isFinished && clock.nowMs() - startMs <= MAX_RELAY_CONNECT_MS,
        onHeaders: (status, headers) => this.handleHeaders(status, headers),
        onData: (chunk) => this.handleData(chunk),
        onEnd: (end) => this.handleEnd(end),
        onFailure: ({ type, reason }) => {
          if (type === 'broken') this.finishBroken(reason);
          else this.finish({ type: 'not_sent', reason });
        },
      },
    );
    if (this.exchange === undefined)
      this.finish({ type: 'not_sent', reason: 'no connection to the peer is available' });
  }

  private handleHeaders(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void {
    const result = headers[RELAY_RESULT_HEADER];
    if (typeof result !== 'string') {
      this.finish({ type: 'unmarked', status });
      return;
    }
    this.status = status;
    this.result = result;
    this.callerHeaders = decodeCallerHeaders(headers);
    this.origin = result === ENDPOINT_RESULT ? 'endpoint' : 'peer';
  }

  private handleData(chunk: Buffer): void {
    const { origin } = this;
    if (this.isFinished || origin === undefined) return;
    switch (origin) {
      case 'endpoint':
        this.handleEndpointBytes(chunk);
        return;
      case 'peer':
        if (this.bufferedBody === undefined) return;
        if (this.bufferedBody.length + chunk.length > MAX_REJECTION_BODY_BYTES)
          this.finishBroken('reply of the peer is too long');
        else this.bufferedBody.add(chunk);
        return;
      default:
        origin satisfies never;
    }
  }

  private handleEndpointBytes(chunk: Buffer): void {
    this.input.onFirstByte();
    const { bufferedBody } = this;
    if (bufferedBody === undefined) {
      this.passOn(chunk);
      return;
    }
    if (!this.input.isStream && bufferedBody.add(chunk) === 'added') return;
    const bytes = Buffer.concat([bufferedBody.getBytes(), chunk]);
    bufferedBody.release();
    this.bufferedBody = undefined;
    this.passOn(bytes);
  }

  private passOn(bytes: Buffer): void {
    const { callerResponse } = this.input;
    if (callerResponse.isClosed) return;
    if (!callerResponse.hasStarted) callerResponse.start(this.createHead());
    if (!callerResponse.write(bytes, () => this.exchange?.resume())) this.exchange?.pause();
  }

  private createHead(): Pick<ResponseHead, 'callerHeaders' | 'status'> {
    return { status: this.status, callerHeaders: this.callerHeaders };
  }

  private handleEnd(end: ResponseEnd): void {
    const { origin, status, result, callerHeaders: headers, bufferedBody } = this;
    const { callerResponse } = this.input;
    if (this.isFinished) return;
    // Peers always frame their responses, so that one which ends with its connection was cut off.
    if (origin === undefined || end.type === 'connection') {
      this.finishBroken('the response of the peer was cut off');
      return;
    }
    switch (origin) {
      case 'endpoint':
        if (bufferedBody === undefined) callerResponse.finish();
        else callerResponse.sendEndpointResponse(this.createHead(), bufferedBody.getBytes());
        this.finish({ type: 'served', status });
        return;
      case 'peer': {
        const body = bufferedBody?.getBytes() ?? Buffer.alloc(0);
        this.finish({ type: 'replied', reply: { result, status, headers, body } });
        return;
      }
      default:
        origin satisfies never;
    }
  }

  private finishBroken(reason: string): void {
    this.finish({ type: 'broken', reason, hasResponse: this.origin !== undefined });
  }

  private finish(outcome: RelayOutcome): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.bufferedBody?.release();
    this.exchange?.cancel();
    this.resolve(outcome);
  }
}
