import type { Clock, NodeId } from '@lovagearch/common';
import { err, type Result } from 'neverthrow';
import { CONNECT_RETRY_DELAY_MS, MAX_SEND_BUFFER_BYTES, MAX_QUEUED_FRAMES } from './constants.js';
import { encodeValue } from './frames.js';
import type { ConnectionCheckResult, PeerConnection } from './peerConnection.js';
import type { PeerError } from './types.js';

type Connect = (address: string) => Promise<Result<PeerConnection, PeerError>>;

/** Address and connections of one peer, with at most one connection opened by each side. */
export class PeerLink {
  private address: string | undefined;

  private outgoing: PeerConnection | undefined;

  private incoming: PeerConnection | undefined;

  private pendingConnect: Promise<Result<PeerConnection, PeerError>> | undefined;

  private earliestConnectMs = 0;

  private queuedFrames = 0;

  private queuedBytes = 0;

  private constructor(
    private readonly self: NodeId,
    readonly peer: NodeId,
    private readonly clock: Clock,
    private readonly connect: Connect,
  ) {}

  static create(self: NodeId, peer: NodeId, clock: Clock, connect: Connect): PeerLink {
    return new PeerLink(self, peer, clock, connect);
  }

  setAddress(address: string): void {
    if (this.address === address) return;
    this.address = address;
    this.earliestConnectMs = 0;
  }

  /** Adds an authenticated connection and closes an older one that the same side opened. */
  addConnection(connection: PeerConnection): void {
    const replaced = connection.isOutgoing ? this.outgoing : this.incoming;
    if (connection.isOutgoing) this.outgoing = connection;
    else this.incoming = connection;
    replaced?.close();
  }

  removeConnection(connection: PeerConnection): void {
    if (this.outgoing === connection) this.outgoing = undefined;
    if (this.incoming === connection) this.incoming = undefined;
  }

  /** Sends a one-way message, connecting first if needed. It is dropped if connecting fails. */
  send(topic: string, payload: unknown): void {
    const connection = this.getOpenConnection();
    if (connection !== undefined) {
      connection.send(topic, payload);
      return;
    }
    // `openConnection` returns failures as values, so this promise never rejects.
    this.openConnection(payload).then(
      (result) => result.map((opened) => opened.send(topic, payload)),
      () => undefined,
    );
  }

  async request(
    topic: string,
    payload: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerError>> {
    const connection = this.getOpenConnection();
    if (connection !== undefined) return connection.request(topic, payload, timeoutMs);
    const startMs = this.clock.nowMs();
    const opened = await this.waitForConnection(payload, timeoutMs);
    if (opened.isErr()) return err(opened.error);
    const remainingMs = Math.max(1, timeoutMs - (this.clock.nowMs() - startMs));
    return opened.value.request(topic, payload, remainingMs);
  }

  runChecks(elapsedMs: number): ConnectionCheckResult[] {
    const checkResults: ConnectionCheckResult[] = [];
    for (const connection of [this.outgoing, this.incoming]) {
      if (connection !== undefined) checkResults.push(connection.runCheck(elapsedMs));
    }
    return checkResults;
  }

  close(): void {
    this.outgoing?.close();
    this.incoming?.close();
  }

  private getOpenConnection(): PeerConnection | undefined {
    const [first, second] =
      this.self < this.peer ? [this.outgoing, this.incoming] : [this.incoming, this.outgoing];
    if (first?.isOpen) return first;
    return second?.isOpen ? second : undefined;
  }

  private async waitForConnection(
    payload: unknown,
    timeoutMs: number,
  ): Promise<Result<PeerConnection, PeerError>> {
    let timer: NodeJS.Timeout | undefined;
    const limit = new Promise<Result<PeerConnection, PeerError>>((resolve) => {
      const message = `no connection within ${timeoutMs} ms`;
      timer = setTimeout(() => resolve(err({ type: 'not_connected', message })), timeoutMs);
    });
    const result = await Promise.race([this.openConnection(payload), limit]);
    clearTimeout(timer);
    return result;
  }

  private async openConnection(payload: unknown): Promise<Result<PeerConnection, PeerError>> {
    const { address } = this;
    if (address === undefined) return err({ type: 'unknown_peer' });
    if (this.clock.nowMs() < this.earliestConnectMs) {
      return err({
        type: 'not_connected',
        message: 'the last connection attempt failed; waiting before the next one',
      });
    }
    const bytes = encodeValue(payload).length;
    const isFull =
      this.queuedFrames >= MAX_QUEUED_FRAMES || this.queuedBytes + bytes > MAX_SEND_BUFFER_BYTES;
    if (isFull) return err({ type: 'peer_busy' });
    this.queuedFrames++;
    this.queuedBytes += bytes;
    this.pendingConnect ??= this.connectOnce(address);
    const result = await this.pendingConnect;
    this.queuedFrames--;
    this.queuedBytes -= bytes;
    return result;
  }

  private async connectOnce(address: string): Promise<Result<PeerConnection, PeerError>> {
    const result = await this.connect(address);
    if (result.isErr()) this.earliestConnectMs = this.clock.nowMs() + CONNECT_RETRY_DELAY_MS;
    this.pendingConnect = undefined;
    return result;
  }
}
