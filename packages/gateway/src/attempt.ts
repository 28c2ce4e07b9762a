import type { Clock } from '@lovagearch/common';
import type { Endpoint, EndpointOutcome, Placement, SentRequest } from '@lovagearch/endpoints';
import {
  type ConnectionPool,
  type EndpointRequest,
  type EventFraming,
  type Exchange,
  type ExchangeFailure,
} from '@lovagearch/exchange';
import type { AnswerRelay } from './answerRelay.js';
import { MAX_BUFFERED_RESPONSE_BYTES } from './constants.js';
import type { ResponseHead, HeaderCodec } from './types.js';

/** How one send to an endpoint ended. */
export type AttemptOutcome =
  | { readonly type: 'answered'; readonly head: ResponseHead; readonly body: Buffer }
  | { readonly type: 'broken'; readonly reason: string }
  | {
      readonly type: 'not_run';
      readonly wasReceived: boolean;
      readonly reason: string;
      /** The endpoint has other weights than expected; its version if it says so. */
      readonly otherWeights?: { readonly version: number | undefined };
    }
  | { readonly type: 'passed_on' }
  | { readonly type: 'stalled' }
  | { readonly type: 'stopped'; readonly wasSent: boolean };

export interface AttemptInput {
  readonly requestId: string;
  readonly request: EndpointRequest;
  readonly endpoint: Endpoint;
  readonly placement: Placement;
  /** Tokens that the request takes in the endpoint's memory. */
  readonly memoryTokens: number;
  readonly model: string | undefined;
  readonly maxConnections: number;
  /** Undefined for plain calls. */
  readonly framing: EventFraming | undefined;
  readonly relay: AnswerRelay;
  /** Silence of the endpoint after which the attempt is given up; undefined to wait on. */
  readonly stallMs: number | undefined;
}

export interface AttemptParts {
  readonly pool: ConnectionPool;
  readonly headers: HeaderCodec;
  readonly clock: Clock;
  /** Called with the time since the request was sent, in milliseconds. */
  readonly onFirstByte: (afterMs: number) => void;
  readonly onWeights: (endpointId: string, model: string, version: number) => void;
}

/** Connections are named after one start of an endpoint. */
export const getStartKey = ({ record }: Endpoint): string => `${record.id}/${record.startedUnixMs}`;

/**
 * One send to one endpoint. It passes whole events on to the caller as they arrive and holds back every
 * other answer until it is complete.
 */
export class Attempt {
  private exchange: Exchange | undefined;

  private head: ResponseHead | undefined;

  private held: Buffer[] = [];

  private heldBytes = 0;

  private isOver = false;

  private hasFirstByte = false;

  private readonly startMs: number;

  private readonly sent: SentRequest;

  private lastBytesMs: number;

  private stallTimer: NodeJS.Timeout | undefined;

  private resolve: (outcome: AttemptOutcome) => void = () => undefined;

  private constructor(
    private readonly parts: AttemptParts,
    private readonly input: AttemptInput,
  ) {
    this.startMs = parts.clock.nowMs();
    this.lastBytesMs = this.startMs;
    this.sent = {
      tokens: input.placement.uncachedTokens,
      memoryTokens: input.memoryTokens,
      ownMs: input.placement.ownMs,
      sentAtMs: this.startMs,
    };
  }

  static create(parts: AttemptParts, input: AttemptInput): Attempt {
    return new Attempt(parts, input);
  }

  /** Whether the endpoint has produced anything for this request. */
  get hasOutput(): boolean {
    return this.hasFirstByte;
  }

  /** Sends the request and waits for the end of the attempt. */
  run(): Promise<AttemptOutcome> {
    return new Promise((resolve) => {
      this.resolve = resolve;
      this.start();
    });
  }

  /** Cancels the work at the endpoint. */
  stop(): void {
    const wasSent = this.exchange?.isSent ?? false;
    this.finish({ type: 'stopped', wasSent }, { type: 'cancelled' });
  }

  private start(): void {
    const { endpoint, request, maxConnections, stallMs } = this.input;
    endpoint.recordSent(this.sent);
    const exchange = this.parts.pool.send(
      getStartKey(endpoint),
      endpoint.record.address,
      maxConnections,
      request,
      {
        onHead: (status, headers) => this.handleHead(status, headers),
        onData: (chunk) => this.handleData(chunk),
        onEnd: () => this.handleEnd(),
        onFailure: (failure) => this.handleFailure(failure),
      },
    );
    if (exchange === undefined) {
      const reason = 'no free connection';
      this.finish({ type: 'not_run', wasReceived: false, reason }, { type: 'cancelled' });
      return;
    }
    this.exchange = exchange;
    if (this.isOver) exchange.cancel();
    else if (stallMs !== undefined) this.scheduleStallCheck(stallMs);
  }

  private scheduleStallCheck(delayMs: number): void {
    this.stallTimer = setTimeout(() => this.checkStall(), delayMs);
  }

  private checkStall(): void {
    const { endpoint, stallMs } = this.input;
    if (this.isOver || stallMs === undefined) return;
    const nowMs = this.parts.clock.nowMs();
    // An endpoint that answers other requests is busy, not silent.
    const heardMs = Math.max(this.lastBytesMs, endpoint.lastBytesAtMs);
    const silentMs = nowMs - heardMs;
    if (silentMs >= stallMs) this.finish({ type: 'stalled' }, { type: 'transport_failed' });
    else this.scheduleStallCheck(stallMs - silentMs);
  }

  private handleHead(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void {
    const { endpoint, requestId, model } = this.input;
    const nowMs = this.parts.clock.nowMs();
    this.recordBytes(nowMs);
    const head = this.parts.headers.decodeResponseHead(status, headers);
    this.head = head;
    if (head.requestId !== undefined && head.requestId !== requestId) {
      this.breakOff(`answer of another request (${head.requestId})`);
      return;
    }
    if (head.load !== undefined) endpoint.recordLoadReport(head.load, nowMs);
    if (head.isNotRun || head.isMisdirected) return;
    const isSuccess = status >= 200 && status < 300;
    if (isSuccess && (!head.hasOriginProof || head.requestId === undefined)) {
      this.breakOff('success without proof of origin');
      return;
    }
    if (isSuccess && model !== undefined && head.weightVersion !== undefined) {
      this.parts.onWeights(endpoint.record.id, model, head.weightVersion);
    }
  }

  private handleData(chunk: Buffer): void {
    if (this.isOver || this.head === undefined) return;
    this.recordBytes(this.parts.clock.nowMs());
    const { framing } = this.input;
    if (framing !== undefined && this.isStreaming(this.head)) this.handleEvents(framing, chunk);
    else this.handlePlainBytes(chunk);
  }

  private isStreaming(head: ResponseHead): boolean {
    return head.isEventStream && head.status >= 200 && head.status < 300;
  }

  private handleEvents(framing: EventFraming, chunk: Buffer): void {
    const result = framing.addBytes(chunk);
    switch (result.type) {
      case 'incomplete':
        return;
      case 'fault':
        this.breakOff(`stream out of order: ${result.fault.type}`);
        return;
      case 'events':
        this.markFirstByte();
        this.writeOn(result.events.bytes);
        return;
      default:
        result satisfies never;
    }
  }

  private handlePlainBytes(chunk: Buffer): void {
    this.markFirstByte();
    if (this.heldBytes < 0) {
      this.writeOn(chunk);
      return;
    }
    this.held.push(chunk);
    this.heldBytes += chunk.length;
    if (this.heldBytes <= MAX_BUFFERED_RESPONSE_BYTES) return;
    const bytes = Buffer.concat(this.held);
    this.held = [];
    this.heldBytes = -1;
    this.writeOn(bytes);
  }

  private writeOn(bytes: Buffer): void {
    const { relay } = this.input;
    const { head, exchange } = this;
    if (head === undefined || relay.isClosed) return;
    if (!relay.hasStarted) relay.start(head);
    if (!relay.write(bytes, () => exchange?.resume())) exchange?.pause();
  }

  private handleEnd(): void {
    const { framing, relay } = this.input;
    const { head } = this;
    if (this.isOver) return;
    if (head === undefined) {
      this.breakOff('no head');
      return;
    }
    if (head.isNotRun || head.isMisdirected) {
      this.handleRejection(head);
      return;
    }
    const workMs = this.parts.clock.nowMs() - this.startMs;
    const outcome: EndpointOutcome = { type: 'answered', isFailure: head.status >= 500, processingMs: workMs };
    if (framing !== undefined && this.isStreaming(head)) {
      if (framing.hasRest) this.breakOff('ended inside an event');
      else {
        if (!relay.hasStarted) relay.start(head);
        relay.finish();
        this.finish({ type: 'passed_on' }, outcome);
      }
    } else if (this.heldBytes < 0) {
      relay.finish();
      this.finish({ type: 'passed_on' }, outcome);
    } else this.finish({ type: 'answered', head, body: Buffer.concat(this.held) }, outcome);
  }

  private handleRejection(head: ResponseHead): void {
    const hasOtherWeights =
      head.isMisdirected && head.respondingEndpointId === this.input.endpoint.record.id;
    if (hasOtherWeights) {
      const otherWeights = { version: head.weightVersion };
      const reason = 'other weights';
      this.finish(
        { type: 'not_run', wasReceived: true, reason, otherWeights },
        { type: 'cancelled' },
      );
      return;
    }
    const reason = head.isMisdirected ? 'misdirected' : `rejected with ${head.status}`;
    this.finish({ type: 'not_run', wasReceived: true, reason }, { type: 'rejected' });
  }

  private handleFailure(failure: ExchangeFailure): void {
    const { reason } = failure;
    switch (failure.type) {
      case 'not_sent':
        this.finish({ type: 'not_run', wasReceived: false, reason }, { type: 'transport_failed' });
        return;
      case 'broken':
        // A connection that ends inside an answer says less about the endpoint than a refused one.
        this.finish(
          { type: 'broken', reason },
          this.hasFirstByte ? { type: 'cancelled' } : { type: 'transport_failed' },
        );
        return;
      default:
        failure satisfies never;
    }
  }

  private breakOff(reason: string): void {
    this.finish({ type: 'broken', reason }, { type: 'cancelled' });
  }

  private markFirstByte(): void {
    if (this.hasFirstByte) return;
    this.hasFirstByte = true;
    this.input.endpoint.recordFirstByte(this.sent, this.parts.clock.nowMs());
    this.parts.onFirstByte(this.parts.clock.nowMs() - this.startMs);
  }

  private recordBytes(nowMs: number): void {
    this.lastBytesMs = nowMs;
    this.input.endpoint.recordBytesReceived(nowMs);
  }

  private finish(outcome: AttemptOutcome, endpointOutcome: EndpointOutcome): void {
    if (this.isOver) return;
    this.isOver = true;
    clearTimeout(this.stallTimer);
    const { endpoint, framing } = this.input;
    endpoint.recordCompletion(this.sent, endpointOutcome, this.parts.clock.nowMs());
    // Bytes of an unfinished event would be glued to the next run's first event.
    framing?.removeRest();
    this.exchange?.cancel();
    this.resolve(outcome);
  }
}
