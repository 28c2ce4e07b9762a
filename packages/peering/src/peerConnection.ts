import { WebSocket } from 'ws';
import { assertNever, type NodeId } from '@lovagearch/common';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import {
  CONNECTION_CHECK_INTERVAL_MS,
  IDLE_TIMEOUT_MS,
  MAX_FRAME_BYTES,
  MAX_PENDING_REQUESTS,
  MAX_SEND_BUFFER_BYTES,
  PING_AFTER_SILENCE_MS,
  SILENCE_TIMEOUT_MS,
} from './constants.js';
import { decodeFrame, encodeFrame, type PeerFrame } from './frames.js';
import type { TopicRegistry } from './topicRegistry.js';
import type { TrafficMeter } from './trafficMeter.js';
import type { PeerError } from './types.js';

/** Traffic topic for pings, invalid frames and replies without a pending request. */
const CONNECTION_TOPIC = 'connection';

interface PendingRequest {
  readonly topic: string;
  readonly finish: (result: Result<unknown, PeerError>) => void;
  readonly timer: NodeJS.Timeout;
}

/** Result of the periodic check of a connection. */
export type ConnectionCheckResult = 'close_idle' | 'close_silent' | 'none' | 'ping';

/** An authenticated connection to a peer. */
export class PeerConnection {
  private readonly pendingRequests = new Map<number, PendingRequest>();

  private nextId = 1;

  private activeHandlers = 0;

  private silentMs = 0;

  private idleMs = 0;

  private constructor(
    readonly peer: NodeId,
    readonly isOutgoing: boolean,
    private readonly socket: WebSocket,
    private readonly topics: TopicRegistry,
    private readonly traffic: TrafficMeter,
  ) {}

  /** Wraps an authenticated socket and calls `handleClose` once when the socket is closed. */
  static create(
    peer: NodeId,
    isOutgoing: boolean,
    socket: WebSocket,
    topics: TopicRegistry,
    traffic: TrafficMeter,
    handleClose: (connection: PeerConnection) => void,
  ): PeerConnection {
    const connection = new PeerConnection(peer, isOutgoing, socket, topics, traffic);
    socket.on('message', (data: Buffer) => connection.receive(data));
    socket.on('close', () => {
      connection.failPendingRequests();
      handleClose(connection);
    });
    return connection;
  }

  get isOpen(): boolean {
    return this.socket.readyState === WebSocket.OPEN;
  }

  /** Sends a one-way message; returns false if it was dropped. */
  send(topic: string, payload: unknown): boolean {
    this.idleMs = 0;
    return this.writeFrame({ type: 'one_way', topic, payload }, topic);
  }

  /**
   * Sends a request and waits for its reply until the timeout. `peer_busy` is also returned if the
   * payload exceeds the maximum frame size. In both cases nothing was sent.
   */
  request(topic: string, payload: unknown, timeoutMs: number): ResultAsync<unknown, PeerError> {
    return new ResultAsync(
      new Promise((resolve) => {
        if (!this.isOpen) {
          resolve(err({ type: 'not_connected', message: 'the connection is closed' }));
          return;
        }
        const id = this.nextId++;
        const isSent =
          this.pendingRequests.size < MAX_PENDING_REQUESTS &&
          this.writeFrame({ type: 'request', id, topic, payload }, topic);
        if (!isSent) {
          resolve(err({ type: 'peer_busy' }));
          return;
        }
        this.idleMs = 0;
        const finish = (result: Result<unknown, PeerError>): void => {
          clearTimeout(this.pendingRequests.get(id)?.timer);
          this.pendingRequests.delete(id);
          resolve(result);
        };
        const timer = setTimeout(() => finish(err({ type: 'timeout', timeoutMs })), timeoutMs);
        if (this.pendingRequests.size === 0) this.silentMs = 0;
        this.pendingRequests.set(id, { topic, finish, timer });
      }),
    );
  }

  /** Adds the elapsed time, then sends a ping or closes a silent or idle connection. */
  runCheck(elapsedMs: number): ConnectionCheckResult {
    // If this process was paused, the elapsed time must not count as silence of the peer.
    const countedMs = Math.min(elapsedMs, 2 * CONNECTION_CHECK_INTERVAL_MS);
    this.idleMs += countedMs;
    this.silentMs = this.pendingRequests.size === 0 ? 0 : this.silentMs + countedMs;
    const checkResult = this.getCheckResult();
    if (checkResult === 'ping') this.writeFrame({ type: 'ping' }, CONNECTION_TOPIC);
    if (checkResult === 'close_silent' || checkResult === 'close_idle') this.socket.terminate();
    return checkResult;
  }

  close(): void {
    // A graceful close would wait for a peer that no longer reads.
    this.socket.terminate();
  }

  private getCheckResult(): ConnectionCheckResult {
    if (this.silentMs >= SILENCE_TIMEOUT_MS) return 'close_silent';
    if (this.silentMs >= PING_AFTER_SILENCE_MS) return 'ping';
    const isActive = this.pendingRequests.size > 0 || this.activeHandlers > 0;
    return !isActive && this.idleMs >= IDLE_TIMEOUT_MS ? 'close_idle' : 'none';
  }

  /** @param topic topic that the bytes are counted for */
  private writeFrame(frame: PeerFrame, topic: string): boolean {
    if (!this.isOpen) return false;
    const bytes = encodeFrame(frame);
    if (bytes.length > MAX_FRAME_BYTES) return false;
    if (this.socket.bufferedAmount + bytes.length > MAX_SEND_BUFFER_BYTES) return false;
    this.traffic.recordSent(topic, bytes.length);
    // A failed write is followed by the close event, which fails the pending requests.
    this.socket.send(bytes, () => undefined);
    return true;
  }

  /** Decodes and handles one frame. An invalid frame closes the connection. */
  receive(data: Buffer): void {
    this.silentMs = 0;
    const frame = decodeFrame(data);
    this.traffic.recordReceived(this.getTopic(frame), data.length);
    if (frame === undefined) {
      this.socket.terminate();
      return;
    }
    this.handleFrame(frame);
  }

  /** Returns the traffic topic of a received frame; for a reply, that of its request. */
  private getTopic(frame: PeerFrame | undefined): string {
    if (frame === undefined || frame.type === 'ping' || frame.type === 'pong') {
      return CONNECTION_TOPIC;
    }
    if (frame.type === 'one_way' || frame.type === 'request') return frame.topic;
    return this.pendingRequests.get(frame.id)?.topic ?? CONNECTION_TOPIC;
  }

  private handleFrame(frame: PeerFrame): void {
    switch (frame.type) {
      case 'one_way':
        this.idleMs = 0;
        this.handleOneWay(frame.topic, frame.payload);
        return;
      case 'request':
        this.idleMs = 0;
        this.handleRequest(frame.id, frame.topic, frame.payload);
        return;
      case 'reply':
        this.pendingRequests.get(frame.id)?.finish(ok(frame.payload));
        return;
      case 'error_reply':
        this.pendingRequests
          .get(frame.id)
          ?.finish(err({ type: 'rejected', reason: frame.reason, message: frame.message }));
        return;
      case 'ping':
        this.writeFrame({ type: 'pong' }, CONNECTION_TOPIC);
        return;
      case 'pong':
        return;
      default:
        assertNever(frame);
    }
  }

  private handleOneWay(topic: string, payload: unknown): void {
    if (this.activeHandlers >= MAX_PENDING_REQUESTS) return;
    this.activeHandlers++;
    // The registry returns failures as values, so this promise never rejects.
    this.topics.handle(this.peer, topic, payload).then(
      () => {
        this.activeHandlers--;
      },
      () => undefined,
    );
  }

  private handleRequest(id: number, topic: string, payload: unknown): void {
    if (this.activeHandlers >= MAX_PENDING_REQUESTS) {
      const message = 'too many requests';
      this.writeFrame({ type: 'error_reply', id, reason: 'peer_busy', message }, topic);
      return;
    }
    this.activeHandlers++;
    // The registry returns failures as values, so this promise never rejects.
    this.topics.handle(this.peer, topic, payload).then(
      (result) => {
        this.activeHandlers--;
        this.writeReply(id, topic, result);
      },
      () => undefined,
    );
  }

  private writeReply(
    id: number,
    topic: string,
    result: Result<unknown, { readonly reason: string; readonly message: string }>,
  ): void {
    const isWritten = result.isOk()
      ? this.writeFrame({ type: 'reply', id, payload: result.value ?? null }, topic)
      : this.writeFrame({ type: 'error_reply', id, ...result.error }, topic);
    if (!isWritten) {
      const reason = 'reply_too_large';
      this.writeFrame({ type: 'error_reply', id, reason, message: 'not sent' }, topic);
    }
  }

  private failPendingRequests(): void {
    for (const { finish } of [...this.pendingRequests.values()]) {
      finish(err({ type: 'connection_lost' }));
    }
  }
}
