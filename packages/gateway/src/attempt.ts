import { BodyBuffer, type MemoryBudget } from '@lovagearch/bounded-http';
import { type Clock, getErrorMessage } from '@lovagearch/common';
import type { Endpoint, EndpointOutcome, Placement, SentRequest } from '@lovagearch/endpoints';
import {
  type ConnectionEnd,
  type ConnectionPool,
  type EndpointLife,
  type EndpointRequest,
  type EventStreamFramer,
  type Exchange,
  type ExchangeFailure,
  isEncoded,
  type ResponseEnd,
} from '@lovagearch/exchange';
import type { CallerResponse } from './callerResponse.js';
import {
  MAX_BUFFERED_RESPONSE_BYTES,
  MAX_REJECTION_BODY_BYTES,
  MIN_PROGRESS_BYTES,
  REJECTION_BODY_TIMEOUT_MS,
} from './constants.js';
import { type FirstEventDependencies, FirstEventWait } from './firstEventWait.js';
import { type SilenceDependencies, SilentResponse } from './silentResponse.js';
import type { ResponseHead, HeaderCodec } from './types.js';

/** Outcome of one attempt at an endpoint. */
export type AttemptOutcome =
  | {
      readonly type: 'answered';
      readonly head: ResponseHead;
      readonly body: Buffer;
      readonly hasExplicitEnd: boolean;
    }
  | {
      readonly type: 'broken';
      readonly reason: string;
      /** Whether the endpoint broke the connection off, in contrast to an invalid response. */
      readonly isConnectionLost: boolean;
    }
  | {
      readonly type: 'not_run';
      readonly wasReceived: boolean;
      readonly reason: string;
      /** Set if the endpoint has other weights than expected; `version` if the endpoint reports it. */
      readonly weightMismatch?: { readonly version: number | undefined };
    }
  | {
      readonly type: 'passed_on';
      /** False if the response ended with its connection, as it may after a crash as well. */
      readonly hasExplicitEnd: boolean;
    }
  | { readonly type: 'stalled' }
  | { readonly type: 'stopped'; readonly wasSent: boolean };

export interface AttemptInput {
  readonly requestId: string;
  readonly request: Omit<EndpointRequest, 'createHeaders'>;
  /** Returns the time that is left for the request, in milliseconds. */
  readonly getRemainingMs: () => number;
  /** @param handedMs time limit that the endpoint is told, in milliseconds */
  readonly createHeaders: (handedMs: number) => readonly string[];
  readonly endpoint: Endpoint;
  readonly placement: Placement;
  /** KV cache tokens that the request needs at the endpoint: its prompt and longest output. */
  readonly memoryTokens: number;
  /** Whether the request names sources of cached prompt parts. */
  readonly mayLoadParts: boolean;
  readonly model: string | undefined;
  readonly maxConnections: number;
  /** Undefined for requests that are not streaming. */
  readonly framer: EventStreamFramer | undefined;
  readonly callerResponse: CallerResponse;
  /** Time without data after which the request may be sent to another endpoint; undefined if it may not. */
  readonly stallTimeoutMs: number | undefined;
}

export interface AttemptDependencies extends FirstEventDependencies, SilenceDependencies {
  readonly pool: ConnectionPool;
  readonly headers: HeaderCodec;
  readonly clock: Clock;
  /** Memory for the responses of all requests. */
  readonly memory: MemoryBudget;
  /** Whether the endpoint still takes a request whose connection is open now. */
  readonly canSend: () => boolean;
  /** Called with the time from the start of the attempt to the first byte, in milliseconds. */
  readonly onFirstByte: (sinceStartMs: number) => void;
  /** Called before the first byte of a response is passed on to the caller. */
  readonly onResponseStart: () => void;
  /** Called with the head of each response that belongs to this request. */
  readonly onResponseHead: (head: ResponseHead, sentAtMs: number) => void;
  readonly onWeights: (endpointId: string, model: string, version: number) => void;
  /** Finds out whether the endpoint outlived a connection that ended together with its response. */
  readonly checkEndpoint: (end: ConnectionEnd) => Promise<EndpointLife>;
  /** Whether another start of the endpoint's process is registered in its place. */
  readonly isReplaced: (endpoint: Endpoint) => boolean;
  /** Called when bytes of the endpoint arrive. */
  readonly onBytes: (nowMs: number) => void;
  /** Whether the request may be sent again after an attempt that may have run it. */
  readonly mayRunAgain: () => boolean;
  /** Called if no connection to the endpoint could be opened. */
  readonly onConnectFailed: () => void;
  /** Called with what is known of the endpoint after a response that ended with its connection. */
  readonly onConnectionEnd: (life: EndpointLife) => void;
}

/** Why a response that ended with its connection may be incomplete. */
const CONNECTION_END_REASONS = {
  ended: 'the endpoint ended together with its connection',
  unknown: 'the connection ended, and the endpoint may have started again since',
} as const satisfies Record<Exclude<EndpointLife, 'running'>, string>;

/** Returns a key that differs between restarts of an endpoint; connections are pooled by it. */
export const getEndpointStartKey = ({ record }: Endpoint): string =>
  `${record.id}/${record.startedUnixMs}`;

/**
 * One attempt to send a request to one endpoint. Complete events are forwarded to the caller as they
 * arrive. Other responses are buffered until they are complete, unless they exceed the buffer limit.
 */
export class Attempt {
  private exchange: Exchange | undefined;

  private head: ResponseHead | undefined;

  /** The body so far; undefined once it is forwarded as it arrives. */
  private bufferedBody: BodyBuffer | undefined;

  private discardedBytes = 0;

  private isFinished = false;

  private hasRecordedCompletion = false;

  /** Whether reading from the endpoint waits for the caller. */
  private isPaused = false;

  /** Clock reading at the first part of the response body. */
  private firstByteAtMs: number | undefined;

  private readonly startMs: number;

  private readonly sentRequest: SentRequest;

  private lastProgressMs: number;

  /** Bytes of a body or an event that has not arrived completely, as far as they don't count as progress yet. */
  private trickledBytes = 0;

  private readonly firstEventWait: FirstEventWait;

  private readonly silentResponse: SilentResponse;

  private stallTimer: NodeJS.Timeout | undefined;

  private rejectionTimer: NodeJS.Timeout | undefined;

  private resolve: (outcome: AttemptOutcome) => void = () => undefined;

  private constructor(
    private readonly dependencies: AttemptDependencies,
    private readonly input: AttemptInput,
  ) {
    this.startMs = dependencies.clock.nowMs();
    this.bufferedBody = BodyBuffer.create(MAX_BUFFERED_RESPONSE_BYTES, dependencies.memory);
    this.lastProgressMs = this.startMs;
    const { expectedMs, ownMs, roundTripMs, uncachedTokens } = input.placement;
    this.sentRequest = {
      tokens: uncachedTokens,
      memoryTokens: input.memoryTokens,
      ownMs,
      expectedWaitMs: expectedMs - ownMs,
      roundTripMs,
      mayLoadParts: input.mayLoadParts,
      sentAtMs: this.startMs,
    };
    this.firstEventWait = FirstEventWait.create(dependencies, input.endpoint, this.sentRequest);
    this.silentResponse = SilentResponse.create(dependencies, input.endpoint);
  }

  static create(parts: AttemptDependencies, input: AttemptInput): Attempt {
    return new Attempt(parts, input);
  }

  /** Time limit that the endpoint was told, in milliseconds; undefined before its connection is open. */
  handedMs: number | undefined;

  /** Bytes of the request that were not sent when the attempt ended; undefined while it goes on. */
  unsentBytesAtEnd: number | undefined;

  /** Whether the endpoint has sent any part of the response body. */
  get hasOutput(): boolean {
    return this.firstByteAtMs !== undefined;
  }

  /** Whether the endpoint may have received a part of the request. */
  get wasSent(): boolean {
    return this.exchange?.isSent ?? false;
  }

  /** Time since the endpoint sent the first part of the response body, in milliseconds; 0 if it did not. */
  getOutputAgeMs(nowMs: number): number {
    return this.firstByteAtMs === undefined ? 0 : nowMs - this.firstByteAtMs;
  }

  /** Sends the request and waits until the attempt has ended. */
  run(): Promise<AttemptOutcome> {
    return new Promise((resolve) => {
      this.resolve = resolve;
      this.start();
    });
  }

  /** Cancels the attempt and the work at the endpoint. */
  stop(): void {
    this.finish({ type: 'stopped', wasSent: this.wasSent }, { type: 'cancelled' });
  }

  /** Cancels the attempt because another endpoint answered first, and counts its delay so far. */
  stopOvertaken(): void {
    if (!this.isFinished)
      this.input.endpoint.recordOvertaken(this.sentRequest, this.dependencies.clock.nowMs());
    this.stop();
  }

  /** Cancels the attempt like a stalled one, unless the endpoint has sent a part of the response. */
  stopWaiting(): void {
    if (!this.hasOutput) this.finish({ type: 'stalled' }, { type: 'cancelled' });
  }

  /**
   * Ends the attempt as the endpoint is out of reach. One that may have run ends only if the request can be sent again,
   * and a response that has begun only if its rest can be requested elsewhere.
   *
   * @param isLost whether the endpoint lives, so that a response may come only if the link does
   */
  stopUnreachable(isLost: boolean): void {
    this.stopConnecting();
    if (this.isFinished) return;
    if (this.head !== undefined) {
      if (isLost) this.leaveSilentResponse();
      return;
    }
    if (
      this.dependencies.mayRunAgain() &&
      (isLost || this.dependencies.findMove().type === 'possible')
    )
      this.finish({ type: 'stalled' }, { type: 'cancelled' });
  }

  /** Ends the attempt as no connection to the endpoint can be opened, unless it has one. */
  stopConnecting(): void {
    if (this.wasSent) return;
    const reason = 'the endpoint is out of reach';
    this.finish({ type: 'not_run', wasReceived: false, reason }, { type: 'cancelled' });
  }

  private start(): void {
    const { endpoint, request, maxConnections, stallTimeoutMs } = this.input;
    endpoint.recordSent(this.sentRequest);
    const exchange = this.dependencies.pool.send(
      getEndpointStartKey(endpoint),
      endpoint.record.address,
      maxConnections,
      { ...request, createHeaders: () => this.createHeaders() },
      {
        canSend: () => this.dependencies.canSend(),
        onHeaders: (status, headers) => this.handleHeaders(status, headers),
        onData: (chunk) => this.handleData(chunk),
        onEnd: (end) => this.handleEnd(end),
        onFailure: (failure) => this.handleFailure(failure),
      },
    );
    if (exchange === undefined) {
      const reason = 'no connection to the endpoint is available';
      this.finish({ type: 'not_run', wasReceived: false, reason }, { type: 'cancelled' });
      return;
    }
    this.exchange = exchange;
    if (this.isFinished) exchange.cancel();
    else if (stallTimeoutMs !== undefined) this.scheduleStallCheck(stallTimeoutMs);
  }

  private createHeaders(): readonly string[] {
    const { createHeaders, getRemainingMs } = this.input;
    this.handedMs = Math.max(1, Math.floor(getRemainingMs()));
    return createHeaders(this.handedMs);
  }

  /** Checks a response that has begun without waiting for the stall timeout. */
  private leaveSilentResponse(): void {
    if (!this.hasOutput || this.isPaused || this.input.stallTimeoutMs === undefined) return;
    clearTimeout(this.stallTimer);
    const nowMs = this.dependencies.clock.nowMs();
    this.checkSilence(nowMs, nowMs - this.lastProgressMs);
  }

  private scheduleStallCheck(delayMs: number): void {
    this.stallTimer = setTimeout(() => this.checkStall(), delayMs);
  }

  private checkStall(): void {
    const { endpoint, stallTimeoutMs } = this.input;
    if (this.isFinished || stallTimeoutMs === undefined) return;
    const nowMs = this.dependencies.clock.nowMs();
    // An endpoint that is sending other responses is busy rather than stalled.
    const lastActivityMs = Math.max(this.lastProgressMs, endpoint.lastBytesAtMs);
    // While the caller does not read, the endpoint is silent because it is not read either.
    const silentMs = this.isPaused ? 0 : nowMs - lastActivityMs;
    if (silentMs < stallTimeoutMs) this.scheduleStallCheck(stallTimeoutMs - silentMs);
    else if (this.hasOutput) this.checkSilence(nowMs, silentMs);
    else this.checkFirstEventWait(nowMs, silentMs, stallTimeoutMs);
  }

  private checkSilence(nowMs: number, silentMs: number): void {
    const decision = this.silentResponse.check(nowMs, silentMs);
    switch (decision.type) {
      case 'stay':
        this.scheduleStallCheck(decision.recheckMs);
        return;
      case 'leave':
        this.finish({ type: 'stalled' }, { type: 'transport_failed' });
        return;
      default:
        decision satisfies never;
    }
  }

  private checkFirstEventWait(nowMs: number, silentMs: number, stallTimeoutMs: number): void {
    const decision = this.firstEventWait.check(nowMs, silentMs, stallTimeoutMs);
    switch (decision.type) {
      case 'stay':
        this.scheduleStallCheck(decision.recheckMs);
        return;
      case 'withdraw':
        this.finish(
          { type: 'stalled' },
          decision.reason === 'silent' ? { type: 'transport_failed' } : { type: 'cancelled' },
        );
        return;
      default:
        decision satisfies never;
    }
  }

  private handleHeaders(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void {
    const { endpoint, requestId, model } = this.input;
    const nowMs = this.dependencies.clock.nowMs();
    this.recordActivity(nowMs);
    this.dependencies.onBytes(nowMs);
    const head = this.dependencies.headers.decodeResponseHead(status, headers);
    this.head = head;
    // A faulty endpoint may write an earlier response once more, so nothing in it says anything about this request.
    if (head.requestId !== requestId) {
      this.finishBroken(`response belongs to another request (${head.requestId ?? 'no id'})`);
      return;
    }
    if (head.load !== undefined) endpoint.recordLoadReport(head.load, nowMs);
    this.dependencies.onResponseHead(head, this.startMs);
    if (head.isNotRun || head.isMisdirected) {
      // The connection can be reused if the body ends soon.
      const endRejection = () => this.handleRejection(head);
      this.rejectionTimer = setTimeout(endRejection, REJECTION_BODY_TIMEOUT_MS);
      return;
    }
    if (isEncoded(headers)) {
      // No request asks for one, so that it isn't the body that the endpoint vouches for.
      this.finishInvalid('response has an encoded body');
      return;
    }
    const isSuccess = status >= 200 && status < 300;
    if (isSuccess && !head.hasOriginProof) {
      this.finishBroken('successful response without proof of origin');
      return;
    }
    if (isSuccess && model !== undefined && head.weightVersion !== undefined) {
      this.dependencies.onWeights(endpoint.record.id, model, head.weightVersion);
    }
  }

  private handleData(chunk: Buffer): void {
    if (this.isFinished || this.head === undefined) return;
    this.dependencies.onBytes(this.dependencies.clock.nowMs());
    const { framer } = this.input;
    if (this.head.isNotRun || this.head.isMisdirected) this.discardRejectionBody(this.head, chunk);
    else if (framer !== undefined && this.isStreaming(this.head))
      this.handleEventChunk(framer, chunk);
    else {
      this.recordTrickle(chunk.length);
      this.handleBodyChunk(chunk);
    }
  }

  /** On a route with streams, a success is one; a faulty endpoint may name another type or none. */
  private isStreaming(head: ResponseHead): boolean {
    return head.status >= 200 && head.status < 300;
  }

  private handleEventChunk(framer: EventStreamFramer, chunk: Buffer): void {
    const result = framer.addChunk(chunk);
    switch (result.type) {
      case 'incomplete':
        this.recordTrickle(chunk.length);
        return;
      case 'fault':
        this.finishInvalid(
          `invalid event stream: ${result.fault.type}`,
          result.fault.type !== 'no_memory',
        );
        return;
      case 'events':
        this.exchange?.recordWork(result.events.count);
        this.trickledBytes = 0;
        this.recordActivity(this.dependencies.clock.nowMs());
        this.markFirstByte();
        this.forwardBytes(result.events.bytes);
        return;
      default:
        result satisfies never;
    }
  }

  /** An endpoint that sends a byte now and then makes no progress; a large event or body on its way is some. */
  private recordTrickle(bytes: number): void {
    this.trickledBytes += bytes;
    if (this.trickledBytes < MIN_PROGRESS_BYTES) return;
    this.trickledBytes = 0;
    this.recordActivity(this.dependencies.clock.nowMs());
  }

  private discardRejectionBody(head: ResponseHead, chunk: Buffer): void {
    this.discardedBytes += chunk.length;
    if (this.discardedBytes > MAX_REJECTION_BODY_BYTES) this.handleRejection(head);
  }

  private handleBodyChunk(chunk: Buffer): void {
    this.markFirstByte();
    if (this.bufferedBody === undefined) {
      this.forwardBytes(chunk);
      return;
    }
    if (this.bufferedBody.add(chunk) === 'added') return;
    if (this.head !== undefined && this.head.status >= 500) {
      this.finishInvalid(`failure response exceeds ${this.bufferedBody.length} bytes`);
      return;
    }
    if (this.input.callerResponse.hasStarted) {
      this.finishBroken('response does not continue the stream');
      return;
    }
    const bytes = Buffer.concat([this.bufferedBody.getBytes(), chunk]);
    this.bufferedBody.release();
    this.bufferedBody = undefined;
    this.forwardBytes(bytes);
  }

  private forwardBytes(bytes: Buffer): void {
    const { callerResponse } = this.input;
    const { head, exchange } = this;
    if (head === undefined || callerResponse.isClosed) return;
    if (!callerResponse.hasStarted) this.startResponse(head);
    const resume = () => {
      this.isPaused = false;
      this.recordActivity(this.dependencies.clock.nowMs());
      exchange?.resume();
    };
    if (callerResponse.write(bytes, resume)) return;
    this.isPaused = true;
    exchange?.pause();
  }

  private startResponse(head: ResponseHead): void {
    this.dependencies.onResponseStart();
    this.input.callerResponse.start(head);
  }

  private handleEnd(end: ResponseEnd): void {
    const { framer } = this.input;
    const { head } = this;
    if (this.isFinished) return;
    if (head === undefined) {
      this.finishBroken('response ended without headers');
      return;
    }
    if (head.isNotRun || head.isMisdirected) {
      this.handleRejection(head);
      return;
    }
    if (framer !== undefined && this.isStreaming(head)) {
      if (framer.hasPartialEvent) {
        this.finishBroken('stream ended inside an event', true);
        return;
      }
      // A crash before the first event looks like an end, and a stream has events.
      if (end.type === 'connection' && framer.lastEventId === 0 && !this.hasOutput) {
        this.finishBroken('stream ended before its first event', true);
        return;
      }
      if (!head.isEventStream && !this.hasOutput) {
        this.finishInvalid('successful response is no stream');
        return;
      }
    }
    const processingMs = this.dependencies.clock.nowMs() - this.startMs;
    switch (end.type) {
      case 'framing':
        this.finishResponse(head, processingMs, true);
        return;
      case 'connection':
        this.finishIfEndpointRuns(head, processingMs, end.unreadForMs);
        return;
      default:
        end satisfies never;
    }
  }

  /**
   * Completes a response that ended with its connection, unless the endpoint's process has ended as well: its kernel
   * closes the connections of a killed process like those of one that is done.
   */
  private finishIfEndpointRuns(
    head: ResponseHead,
    processingMs: number,
    unreadForMs: number,
  ): void {
    const { endpoint } = this.input;
    const { checkEndpoint, onConnectionEnd } = this.dependencies;
    clearTimeout(this.stallTimer);
    this.recordCompletion({ type: 'answered', isFailure: head.status >= 500, processingMs });
    checkEndpoint({ sentAtMs: this.startMs, unreadForMs })
      .then((found) => {
        const life = this.dependencies.isReplaced(endpoint) ? 'ended' : found;
        onConnectionEnd(life);
        if (this.isFinished) return;
        if (life === 'running') this.finishResponse(head, processingMs, false);
        // Only an endpoint that isn't about to leave has crashed.
        else
          this.finishBroken(
            CONNECTION_END_REASONS[life],
            life === 'ended' &&
              endpoint.record.state === 'ready' &&
              !endpoint.statements.leaving.isAnnounced,
          );
      })
      .catch((error: unknown) => this.finishBroken(getErrorMessage(error)));
  }

  private finishResponse(head: ResponseHead, processingMs: number, hasExplicitEnd: boolean): void {
    const { framer, callerResponse } = this.input;
    const outcome: EndpointOutcome = {
      type: 'answered',
      isFailure: head.status >= 500,
      processingMs,
    };
    if (framer !== undefined && this.isStreaming(head)) {
      if (!callerResponse.hasStarted) this.startResponse(head);
      callerResponse.finish();
      this.finish({ type: 'passed_on', hasExplicitEnd }, outcome);
    } else if (this.bufferedBody === undefined) {
      callerResponse.finish();
      this.finish({ type: 'passed_on', hasExplicitEnd }, outcome);
    } else
      this.finish(
        { type: 'answered', head, body: this.bufferedBody.getBytes(), hasExplicitEnd },
        outcome,
      );
  }

  private handleRejection(head: ResponseHead): void {
    const hasWeightMismatch =
      head.isMisdirected && head.respondingEndpointId === this.input.endpoint.record.id;
    if (hasWeightMismatch) {
      const weightMismatch = { version: head.weightVersion };
      const reason = 'endpoint has other model weights';
      this.finish(
        { type: 'not_run', wasReceived: true, reason, weightMismatch },
        { type: 'cancelled' },
      );
      return;
    }
    const reason = head.isMisdirected
      ? 'request reached another endpoint'
      : `endpoint rejected the request with status ${head.status}`;
    this.finish({ type: 'not_run', wasReceived: true, reason }, { type: 'rejected' });
  }

  private handleFailure(failure: ExchangeFailure): void {
    const { reason } = failure;
    switch (failure.type) {
      case 'not_sent':
        this.dependencies.onConnectFailed();
        this.finish({ type: 'not_run', wasReceived: false, reason }, { type: 'transport_failed' });
        return;
      case 'withdrawn':
        this.finish({ type: 'not_run', wasReceived: false, reason }, { type: 'cancelled' });
        return;
      case 'broken':
        // A connection lost during the response is weaker evidence of a failed endpoint than one lost before.
        this.finish(
          { type: 'broken', reason, isConnectionLost: !failure.isInvalid },
          this.hasOutput && !failure.isInvalid
            ? { type: 'cancelled' }
            : { type: 'transport_failed' },
        );
        return;
      default:
        failure satisfies never;
    }
  }

  private finishBroken(reason: string, isConnectionLost = false): void {
    this.finish({ type: 'broken', reason, isConnectionLost }, { type: 'cancelled' });
  }

  /**
   * Ends an attempt whose response is invalid. The endpoint is suspended like one that can't be reached, as the next
   * request would get such a response too; it is used again after the suspension, of some seconds at most.
   */
  private finishInvalid(reason: string, isFaultOfEndpoint = true): void {
    this.finish(
      { type: 'broken', reason, isConnectionLost: false },
      isFaultOfEndpoint ? { type: 'transport_failed' } : { type: 'cancelled' },
    );
  }

  private markFirstByte(): void {
    if (this.firstByteAtMs !== undefined) return;
    this.firstByteAtMs = this.dependencies.clock.nowMs();
    this.input.endpoint.recordFirstByte(this.sentRequest, this.firstByteAtMs);
    this.dependencies.onFirstByte(this.firstByteAtMs - this.startMs);
  }

  private recordActivity(nowMs: number): void {
    this.lastProgressMs = nowMs;
    this.input.endpoint.recordBytesReceived(nowMs);
  }

  /** Tells the endpoint's load that the request is done; only the first outcome counts. */
  private recordCompletion(outcome: EndpointOutcome): void {
    if (this.hasRecordedCompletion) return;
    this.hasRecordedCompletion = true;
    const { clock } = this.dependencies;
    this.input.endpoint.recordCompletion(this.sentRequest, outcome, clock.nowMs());
  }

  private finish(outcome: AttemptOutcome, endpointOutcome: EndpointOutcome): void {
    if (this.isFinished) return;
    this.isFinished = true;
    clearTimeout(this.stallTimer);
    clearTimeout(this.rejectionTimer);
    const { framer } = this.input;
    this.recordCompletion(endpointOutcome);
    // An incomplete event must not be joined with the first event of the next attempt.
    framer?.discardPartialEvent();
    this.bufferedBody?.release();
    this.unsentBytesAtEnd = this.exchange?.unsentBytes ?? 0;
    this.exchange?.cancel();
    this.resolve(outcome);
  }
}
