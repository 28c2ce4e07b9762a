import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { readUnsentBytes } from '@lovagearch/bounded-http';
import type { Clock } from '@lovagearch/common';
import type { ConnectionUse, LedgerEntry } from './connectionLedger.js';
import {
  ADMISSION_WAIT_LIMIT_MS,
  DISCARD_LIMIT_MS,
  MAX_DISCARDED_BYTES,
  MAX_SENT_AHEAD_BYTES,
  SENT_AHEAD_LIMIT_MS,
  STALLED_AFTER_MS,
  UNREAD_RESPONSE_LIMIT_MS,
} from './constants.js';
import {
  estimateHeadBytes,
  estimateRequestBytes,
  findSliceEnd,
  type RequestPhase,
} from './requestSlices.js';

/** Least bytes that a received piece counts for while it waits, as each costs an object and a copy. */
const MIN_PIECE_BYTES = 1_024;
const NOT_RUN_RESPONSE =
  'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n';

/** The limit by which a connection was closed or a request refused. */
export type CallerLimitName =
  | 'admission_wait'
  | 'body_memory'
  | 'connections'
  | 'discarded_body'
  | 'memory'
  | 'sent_ahead'
  | 'unread_response';

/** What a gate asks of the process as a whole. */
export interface GateHost {
  readonly clock: Clock;
  /** Returns whether a request may begin; if not, the gate's `resume` is called later. */
  readonly tryBegin: (gate: ConnectionGate, bytes: number) => boolean;
  readonly setHeldBytes: (gate: ConnectionGate, bytes: number) => void;
  readonly recordLimit: (limit: CallerLimitName, listener: string) => void;
  /** Largest body of a request, in bytes. */
  readonly getMaxBodyBytes: () => number;
}

/**
 * Stands between a connection and its HTTP parser, and hands over one request at a time. While a request is in
 * progress, some bytes behind it are held, so that the end of the connection is seen; the rest is left unread.
 */
export class ConnectionGate implements LedgerEntry {
  heldBytes = 0;

  progressAtMs: number;

  /** Set with a refusal, after which nothing more is parsed. */
  isRefused = false;

  private received: Buffer | undefined;

  /** Bytes received since the gate held nothing, each piece with a least size. */
  private receivedCost = 0;

  private phase: RequestPhase = { type: 'head' };

  private isHeadBegun = false;

  /** Requests that were parsed and whose responses are not complete; more than one only for odd framings. */
  private openRequests = 0;

  private incoming: IncomingMessage | undefined;

  private response: ServerResponse | undefined;

  private requestBytes = 0;

  private waitingSinceMs: number | undefined;

  /** Set while bytes behind a request in progress are left unread. */
  private unreadSinceMs: number | undefined;

  /** Set while the body of a request that was answered is read. */
  private discardingSinceMs: number | undefined;

  private discardedBytes = 0;

  private unsentBytes = 0;

  private isDeliveryScheduled = false;

  private readonly pushEnd: () => boolean;

  private readonly readFromKernel: () => void;

  private constructor(
    private readonly socket: Socket,
    readonly listener: string,
    private readonly host: GateHost,
  ) {
    this.progressAtMs = host.clock.nowMs();
    const push = socket.push.bind(socket);
    this.pushEnd = () => push(null);
    // eslint-disable-next-line no-underscore-dangle -- the name that streams call
    const read = socket._read.bind(socket);
    this.readFromKernel = () => read(MAX_SENT_AHEAD_BYTES);
  }

  /** Puts a gate before the parser of a connection that the HTTP server has just accepted. */
  static attach(socket: Socket, listener: string, host: GateHost): ConnectionGate {
    const gate = new ConnectionGate(socket, listener, host);
    // With a listener for data, the parser gets the bytes from the stream and not from the handle.
    const ignore = () => undefined;
    socket.on('data', ignore);
    socket.off('data', ignore);
    // A stream that asked for bytes before it was paused doesn't call `_read` again.
    socket.on('resume', () => gate.scheduleHeldDelivery());
    Object.assign(socket, {
      push: (bytes: Buffer | null) => gate.receive(bytes),
      _read: () => gate.read(),
    });
    socket.on('resume', () => gate.read());
    return gate;
  }

  get address(): string {
    return this.socket.remoteAddress ?? '';
  }

  /** Whether the request that is in progress hasn't got all of its body. */
  get isReadingBody(): boolean {
    return this.openRequests > 0 && !this.isBodyComplete;
  }

  readonly getUse = (): ConnectionUse => {
    if (this.openRequests > 0) {
      if (this.response?.writableEnded === true) return 'unread';
      if (!this.isBodyComplete) return 'incomplete';
      const isStalled =
        this.unsentBytes > 0 && this.host.clock.nowMs() - this.progressAtMs > STALLED_AFTER_MS;
      return isStalled ? 'unread' : 'working';
    }
    if (this.isHeadBegun || !this.isBodyComplete) return 'incomplete';
    return this.received === undefined ? 'idle' : 'waiting';
  };

  /** Records that the parser has read a head. */
  recordRequest(incoming: IncomingMessage, response: ServerResponse): void {
    const { 'content-length': length, 'transfer-encoding': encoding } = incoming.headers;
    this.isHeadBegun = false;
    this.openRequests += 1;
    this.incoming = incoming;
    this.response = response;
    if (encoding !== undefined) this.phase = { type: 'chunks' };
    else if (Number(length) > 0) this.phase = { type: 'length', remainingBytes: Number(length) };
    response.on('prefinish', this.updateHeldBytes);
    response.on('close', this.finishRequest);
  }

  /** Goes on after a wait for memory. */
  resume(): void {
    this.waitingSinceMs = undefined;
    this.scheduleDelivery();
  }

  close(limit: CallerLimitName): void {
    this.host.recordLimit(limit, this.listener);
    this.socket.destroy();
  }

  /** Closes the connection if it has made no progress for too long. */
  check(nowMs: number): void {
    const unsentBytes = readUnsentBytes(this.socket);
    const hasBegun = unsentBytes > 0 && this.unsentBytes === 0;
    // The time in which a response was worked on is not one in which it wasn't read.
    if (hasBegun || unsentBytes < this.unsentBytes) this.progressAtMs = nowMs;
    this.unsentBytes = unsentBytes;
    if (this.openRequests > 0) this.updateHeldBytes();
    const isPast = (sinceMs: number | undefined, limitMs: number) =>
      sinceMs !== undefined && nowMs - sinceMs > limitMs;
    if (isPast(this.discardingSinceMs, DISCARD_LIMIT_MS)) this.close('discarded_body');
    else if (isPast(this.unreadSinceMs, SENT_AHEAD_LIMIT_MS)) this.close('sent_ahead');
    else if (unsentBytes > 0 && isPast(this.progressAtMs, UNREAD_RESPONSE_LIMIT_MS))
      this.close('unread_response');
    else if (isPast(this.waitingSinceMs, ADMISSION_WAIT_LIMIT_MS)) this.refuse();
  }

  private get isBodyComplete(): boolean {
    switch (this.phase.type) {
      case 'head':
        return true;
      case 'length':
        return this.phase.remainingBytes === 0;
      case 'chunks':
        return this.incoming?.complete ?? true;
      default:
        return this.phase satisfies never;
    }
  }

  /** Refuses a request of which the parser has seen nothing. */
  private refuse(): void {
    this.host.recordLimit('admission_wait', this.listener);
    this.waitingSinceMs = undefined;
    this.received = undefined;
    this.isRefused = true;
    this.socket.end(NOT_RUN_RESPONSE, () => this.socket.destroy());
  }

  /** The stream wants more bytes. */
  private read(): void {
    if (this.received === undefined) this.readFromKernel();
    else this.scheduleHeldDelivery();
  }

  /** Takes bytes from the kernel; returns whether it should read on. */
  private receive(bytes: Buffer | null): boolean {
    if (bytes === null) {
      // What wasn't begun is not served, as its caller has left.
      this.received = undefined;
      return this.pushEnd();
    }
    if (this.isRefused) return true;
    this.progressAtMs = this.host.clock.nowMs();
    if (this.received === undefined) {
      this.receivedCost = 0;
      this.received = bytes;
    } else this.received = Buffer.concat([this.received, bytes]);
    this.receivedCost += Math.max(bytes.length, MIN_PIECE_BYTES);
    if (!this.isDeliveryScheduled && this.waitingSinceMs === undefined) this.deliver();
    if (this.received === undefined) return true;
    this.updateHeldBytes();
    if (this.receivedCost < MAX_SENT_AHEAD_BYTES) return true;
    if (this.isBusy) this.unreadSinceMs ??= this.progressAtMs;
    return false;
  }

  /** Whether the next request has to wait for the end of one. */
  private get isBusy(): boolean {
    return this.openRequests > 0 && this.isBodyComplete;
  }

  /** Hands bytes to the parser up to the end of a request, and a part of a chunked body at a time. */
  private deliver(): void {
    this.isDeliveryScheduled = false;
    const { socket } = this;
    while (this.received !== undefined && !this.isBusy && !socket.destroyed) {
      // Goes on with `resume`.
      if (socket.readableFlowing !== true || socket.readableLength > 0) return;
      if (this.isBodyComplete) this.phase = { type: 'head' };
      const { received, phase } = this;
      const end = findSliceEnd(received, phase);
      const isAll = end === received.length;
      const slice = isAll ? received : received.subarray(0, end);
      if (phase.type === 'head' && !this.tryBeginHead(slice)) return;
      if (phase.type === 'length')
        this.phase = { type: 'length', remainingBytes: phase.remainingBytes - end };
      this.received = isAll ? undefined : received.subarray(end);
      if (this.discardingSinceMs !== undefined && !this.tryDiscard(end)) return;
      // What `push` does as well if the stream flows and holds nothing, at less cost.
      socket.emit('data', slice);
      if (this.received !== undefined && phase.type === 'chunks') {
        this.scheduleDelivery();
        return;
      }
    }
    // Reading was stopped if much was held.
    if (this.received === undefined && !socket.destroyed) this.readFromKernel();
  }

  private tryBeginHead(slice: Buffer): boolean {
    if (this.isHeadBegun) this.requestBytes += estimateHeadBytes(slice);
    else {
      const bytes = estimateRequestBytes(slice);
      if (!this.host.tryBegin(this, bytes)) {
        this.waitingSinceMs = this.host.clock.nowMs();
        return false;
      }
      this.isHeadBegun = true;
      this.requestBytes += bytes;
    }
    this.updateHeldBytes();
    return true;
  }

  private tryDiscard(bytes: number): boolean {
    this.discardedBytes += bytes;
    const maxBytes =
      this.phase.type === 'length' ? this.host.getMaxBodyBytes() : MAX_DISCARDED_BYTES;
    if (this.discardedBytes <= maxBytes) {
      if (this.isBodyComplete) this.discardingSinceMs = undefined;
      return true;
    }
    this.close('discarded_body');
    return false;
  }

  private scheduleHeldDelivery(): void {
    if (this.received !== undefined && this.waitingSinceMs === undefined) this.scheduleDelivery();
  }

  private scheduleDelivery(): void {
    if (this.isDeliveryScheduled) return;
    this.isDeliveryScheduled = true;
    setImmediate(() => this.deliver());
  }

  private readonly finishRequest = (): void => {
    this.openRequests -= 1;
    if (this.openRequests > 0 || this.socket.destroyed) return;
    this.requestBytes = 0;
    this.unsentBytes = 0;
    this.unreadSinceMs = undefined;
    this.response = undefined;
    this.updateHeldBytes();
    if (!this.isBodyComplete) {
      this.discardedBytes = 0;
      this.discardingSinceMs = this.host.clock.nowMs();
    }
    if (this.received !== undefined) this.scheduleDelivery();
  };

  private readonly updateHeldBytes = (): void => {
    const unsent = this.response?.writableLength ?? 0;
    this.host.setHeldBytes(this, (this.received?.length ?? 0) + this.requestBytes + unsent);
  };
}
