import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { WebSocket, WebSocketServer } from 'ws';
import {
  getErrorMessage,
  processClock,
  type Clock,
  type Logger,
  type NodeId,
} from '@lovagearch/common';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { z } from 'zod';
import {
  CONNECTION_CHECK_INTERVAL_MS,
  HANDSHAKE_TIMEOUT_MS,
  MAX_FRAME_BYTES,
  MAX_PEERS,
  MAX_UNAUTHENTICATED_CONNECTIONS,
} from './constants.js';
import { FrameReader } from './frameReader.js';
import { acceptHandshake, initiateHandshake } from './handshake.js';
import { PeerConnection } from './peerConnection.js';
import { PeerLink } from './peerLink.js';
import { TopicRegistry } from './topicRegistry.js';
import { TrafficMeter, type TopicTraffic } from './trafficMeter.js';
import type { PeerError, PeerHandler, PeerMesh } from './types.js';

export interface WsPeerMeshOptions {
  readonly self: NodeId;
  /** Secret key shared by all nodes of the cluster. */
  readonly clusterKey: Buffer;
  readonly host: string;
  /** 0 selects any free port, which `WsPeerMesh.port` returns. */
  readonly port: number;
  readonly log: Logger;
  readonly clock?: Clock;
}

/**
 * `PeerMesh` over WebSocket connections with MessagePack frames. A connection serves both
 * directions, whichever side opened it. If two nodes connect to each other at the same time, both
 * send on the connection that the node with the smaller id opened; the other one carries only the
 * remaining replies and is closed when idle.
 *
 * @example
 * const mesh = await WsPeerMesh.create({ self, clusterKey, host: '127.0.0.1', port: 0, log });
 * mesh.setAddress(peer, '127.0.0.1:7001');
 * const reply = await mesh.request(peer, 'membership.probe', {}, 500);
 */
export class WsPeerMesh implements PeerMesh {
  readonly self: NodeId;

  private readonly topics = TopicRegistry.create();

  private readonly traffic = TrafficMeter.create();

  private readonly links = new Map<NodeId, PeerLink>();

  /** Outgoing sockets whose handshake has not completed. */
  private readonly handshakingSockets = new Set<WebSocket>();

  private readonly log: Logger;

  private readonly clock: Clock;

  private readonly timer: NodeJS.Timeout;

  private lastCheckMs: number;

  private unauthenticatedCount = 0;

  private isClosed = false;

  private constructor(
    private readonly options: WsPeerMeshOptions,
    private readonly server: WebSocketServer,
  ) {
    this.self = options.self;
    this.log = options.log.withTag('peering');
    this.clock = options.clock ?? processClock;
    this.lastCheckMs = this.clock.nowMs();
    this.timer = setInterval(() => this.runChecks(), CONNECTION_CHECK_INTERVAL_MS);
    server.on('connection', (socket) => {
      this.accept(socket).catch((error: unknown) => this.log.error(getErrorMessage(error)));
    });
    server.on('error', (error) => this.log.error(`The peer listener failed: ${error.message}.`));
  }

  /** Starts listening and returns the mesh; rejects if the port can't be bound. */
  static async create(options: WsPeerMeshOptions): Promise<WsPeerMesh> {
    const server = new WebSocketServer({
      host: options.host,
      port: options.port,
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
    });
    await once(server, 'listening');
    return new WsPeerMesh(options, server);
  }

  /** The port that the mesh listens on. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  setAddress(node: NodeId, address: string): void {
    if (node === this.self) return;
    this.getLink(node)?.setAddress(address);
  }

  removeAddress(node: NodeId): void {
    this.links.get(node)?.close();
    this.links.delete(node);
  }

  send(to: NodeId, topic: string, payload: unknown): void {
    if (to !== this.self) {
      this.links.get(to)?.send(topic, payload);
      return;
    }
    // The registry returns failures as values, so this promise never rejects.
    this.topics.handle(to, topic, payload).catch(() => undefined);
  }

  request(
    to: NodeId,
    topic: string,
    payload: unknown,
    timeoutMs: number,
  ): ResultAsync<unknown, PeerError> {
    if (to === this.self) {
      return new ResultAsync(this.topics.handle(to, topic, payload)).mapErr((error) => ({
        type: 'rejected',
        ...error,
      }));
    }
    const link = this.links.get(to);
    if (link === undefined) return new ResultAsync(Promise.resolve(err({ type: 'unknown_peer' })));
    return new ResultAsync(link.request(topic, payload, timeoutMs));
  }

  identifyPeer(address: string, timeoutMs: number): ResultAsync<NodeId, PeerError> {
    return new ResultAsync(
      this.connect(address, undefined, timeoutMs).then((result) =>
        result.map((connection) => {
          this.getLink(connection.peer)?.setAddress(address);
          return connection.peer;
        }),
      ),
    );
  }

  registerHandler<Schema extends z.ZodType>(
    topic: string,
    schema: Schema,
    handler: PeerHandler<z.infer<Schema>>,
  ): void {
    this.topics.register(topic, schema, handler);
  }

  getTraffic(): { readonly sentBytes: number; readonly receivedBytes: number } {
    return this.traffic.getTotals();
  }

  /** Messages and bytes per topic, excluding handshakes and WebSocket and TCP headers. */
  listTopicTraffic(): readonly TopicTraffic[] {
    return this.traffic.listTopics();
  }

  async close(): Promise<void> {
    if (this.isClosed) return;
    this.isClosed = true;
    clearInterval(this.timer);
    for (const link of this.links.values()) link.close();
    for (const socket of this.handshakingSockets) socket.terminate();
    for (const socket of this.server.clients) socket.terminate();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  private getLink(node: NodeId): PeerLink | undefined {
    const known = this.links.get(node);
    if (known !== undefined) return known;
    if (this.links.size >= MAX_PEERS) {
      this.log.warn(`More than ${MAX_PEERS} peers; ${node} is ignored.`);
      return undefined;
    }
    const link = PeerLink.create(this.self, node, this.clock, (address) =>
      this.connect(address, node, HANDSHAKE_TIMEOUT_MS),
    );
    this.links.set(node, link);
    return link;
  }

  private async accept(socket: WebSocket): Promise<void> {
    socket.on('error', (error) => this.log.debug(`Incoming connection failed: ${error.message}.`));
    if (this.isClosed || this.unauthenticatedCount >= MAX_UNAUTHENTICATED_CONNECTIONS) {
      socket.terminate();
      return;
    }
    this.unauthenticatedCount++;
    const reader = FrameReader.create(socket);
    const peer = await acceptHandshake(socket, reader, this.options.clusterKey, this.self);
    this.unauthenticatedCount--;
    if (peer.isErr() || peer.value === this.self) {
      if (peer.isErr()) this.log.warn(`Rejected an incoming connection: ${peer.error.type}.`);
      socket.terminate();
      return;
    }
    this.addConnection(peer.value, false, socket, reader.detach());
  }

  private async connect(
    address: string,
    expectedId: NodeId | undefined,
    timeoutMs: number,
  ): Promise<Result<PeerConnection, PeerError>> {
    const fail = (message: string): Result<PeerConnection, PeerError> =>
      err({ type: 'not_connected', message });
    if (this.isClosed) return fail('the mesh is closed');
    const opened = await this.openSocket(address, timeoutMs);
    if (opened.isErr()) return fail(opened.error);
    const socket = opened.value;
    this.handshakingSockets.add(socket);
    const { clusterKey } = this.options;
    const reader = FrameReader.create(socket);
    const peer = await initiateHandshake(
      socket,
      reader,
      clusterKey,
      this.self,
      expectedId,
      timeoutMs,
    );
    this.handshakingSockets.delete(socket);
    if (peer.isErr()) {
      socket.terminate();
      return fail(`the handshake failed: ${peer.error.type}`);
    }
    const connection = this.addConnection(peer.value, true, socket, reader.detach());
    return connection === undefined ? fail('too many peers') : ok(connection);
  }

  private async openSocket(address: string, timeoutMs: number): Promise<Result<WebSocket, string>> {
    try {
      const socket = new WebSocket(`ws://${address}`, {
        maxPayload: MAX_FRAME_BYTES,
        perMessageDeflate: false,
        handshakeTimeout: timeoutMs,
      });
      const failure = new Promise<string>((resolve) => {
        socket.on('error', (error) => resolve(getErrorMessage(error)));
      });
      const message = await Promise.race([
        failure,
        new Promise<undefined>((resolve) => {
          socket.once('open', () => resolve(undefined));
        }),
      ]);
      return message === undefined ? ok(socket) : err(message);
    } catch (error) {
      // The constructor throws if the address is invalid.
      return err(getErrorMessage(error));
    }
  }

  private addConnection(
    peer: NodeId,
    isOutgoing: boolean,
    socket: WebSocket,
    bufferedFrames: readonly Buffer[],
  ): PeerConnection | undefined {
    const link = this.getLink(peer);
    const isUsable = !this.isClosed && peer !== this.self && socket.readyState === WebSocket.OPEN;
    if (link === undefined || !isUsable) {
      socket.terminate();
      return undefined;
    }
    const connection = PeerConnection.create(
      peer,
      isOutgoing,
      socket,
      this.topics,
      this.traffic,
      (closed) => link.removeConnection(closed),
    );
    link.addConnection(connection);
    for (const frame of bufferedFrames) connection.receive(frame);
    return connection;
  }

  private runChecks(): void {
    const nowMs = this.clock.nowMs();
    const elapsedMs = nowMs - this.lastCheckMs;
    this.lastCheckMs = nowMs;
    for (const [peer, link] of this.links) {
      const results = link.runChecks(elapsedMs);
      if (results.includes('close_silent')) this.log.warn(`Closed a silent connection to ${peer}.`);
    }
  }
}
