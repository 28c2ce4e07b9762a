import { ReadPacer } from '@lovagearch/bounded-http';
import { BoundedMap, parseSocketAddress, processClock } from '@lovagearch/common';
import { type ConnectionEnd, EndpointCheck } from './endpointCheck.js';
import { type ConnectionDependencies, EndpointConnection } from './endpointConnection.js';
import type { EndpointLife, OpeningResult } from './endpointLife.js';
import type { OpeningProgress } from './openingProgress.js';
import type { EndpointRequest, Exchange, ExchangeListener } from './types.js';

interface EndpointConnections {
  /** A stack: the most recently used connection is reused first, so that surplus ones time out. */
  readonly idle: EndpointConnection[];
  readonly all: Set<EndpointConnection>;
}

/** Endpoint starts whose last lost connection is remembered. */
const MAX_REMEMBERED_LOSSES = 10_000;

/**
 * Keep-alive connections to all endpoints.
 *
 * @example
 * const exchange = pool.send('i-7f3a', '10.1.2.3:8080', 40, request, listener);
 * if (exchange === undefined) return refuse('no free connection');
 */
export class ConnectionPool {
  private readonly byEndpoint = new Map<string, EndpointConnections>();

  /** Clock reading at which each endpoint last closed or reset a connection unexpectedly. */
  private readonly lossTimes = BoundedMap.create<string, number>(MAX_REMEMBERED_LOSSES);

  /** The check of each endpoint that was started last. */
  private readonly checks = new Map<string, EndpointCheck>();

  private openedConnectionCount = 0;

  /** Called with the id of an endpoint that closed a connection between two exchanges. */
  onIdleConnectionLost: (endpointId: string) => void = () => undefined;

  /** Called with what becomes of each attempt to open a connection. */
  onOpening: (endpointId: string, progress: OpeningProgress) => void = () => undefined;

  private constructor(private readonly dependencies: ConnectionDependencies) {}

  /** By default, a pool has a pacer of its own and neither suspensions nor delays. */
  static create({
    pacer = ReadPacer.create(),
    clock = processClock,
    getReadDelayMs = () => 0,
  }: Partial<ConnectionDependencies> = {}): ConnectionPool {
    return new ConnectionPool({ pacer, clock, getReadDelayMs });
  }

  /** Number of connections opened since the process started. */
  get openedConnections(): number {
    return this.openedConnectionCount;
  }

  /**
   * Returns whether a request can be sent now, on an idle connection or a new one; with 0 for `maxConnections`, only
   * on an idle one.
   */
  hasFreeConnection(endpointId: string, maxConnections: number): boolean {
    const connections = this.byEndpoint.get(endpointId);
    if (connections === undefined) return maxConnections > 0;
    return connections.idle.length > 0 || connections.all.size < maxConnections;
  }

  /**
   * Sends a request on an idle connection or a new one.
   *
   * @param endpointId changes when an endpoint restarts, so that it gets new connections
   * @param maxConnections 0 if no new connection may be opened
   * @returns undefined if `maxConnections` connections are already in use or the address is not usable
   */
  send(
    endpointId: string,
    address: string,
    maxConnections: number,
    request: EndpointRequest,
    listener: ExchangeListener,
  ): Exchange | undefined {
    if (request.isRepeat) this.makeRoom(endpointId, maxConnections);
    const connection = this.acquireConnection(
      endpointId,
      address,
      maxConnections,
      !request.isRepeat,
    );
    return connection?.send(request, listener, (released) => this.release(endpointId, released));
  }

  /** Whether a connection to an endpoint is established, which shows that its process runs. */
  hasEstablishedConnection(endpointId: string): boolean {
    for (const connection of this.byEndpoint.get(endpointId)?.all ?? [])
      if (connection.isEstablished) return true;
    return false;
  }

  /**
   * Finds out whether the process of an endpoint outlives the end of a connection that ended together with its
   * response. A new connection takes the place of that one, and serves the next request if the endpoint accepts it.
   *
   * @param endpointId the id that the request was sent with
   * @returns after 15 ms and a round trip as a rule, and after two connect timeouts at most
   * @example
   * const life = await pool.checkEndpoint('i-7f3a', '10.1.2.3:8080', { sentAtMs, unreadForMs });
   * if (life !== 'running') return resumeElsewhere();
   */
  checkEndpoint(endpointId: string, address: string, end: ConnectionEnd): Promise<EndpointLife> {
    const known = this.checks.get(endpointId);
    if (known?.canBeShared === true) return known.waitForResult(end);
    const check = EndpointCheck.create(
      {
        // It takes the place of the connection that has ended, which another request may have taken already.
        create: () => this.createConnection(endpointId, address),
        release: (connection) => this.release(endpointId, connection),
        hasOlderThan: (atMs, isRead) => this.hasConnectionOlderThan(endpointId, atMs, isRead),
        hasLostSince: (atMs) =>
          (this.lossTimes.peek(endpointId) ?? Number.NEGATIVE_INFINITY) >= atMs,
      },
      this.dependencies.clock,
      end,
    );
    this.checks.set(endpointId, check);
    const result = check.waitForResult(end);
    return result.finally(() => {
      if (this.checks.get(endpointId) === check) this.checks.delete(endpointId);
    });
  }

  /**
   * Opens a connection without a request, to find out whether the endpoint can be reached. One that is accepted serves
   * the next request, or closes if there is none soon.
   *
   * @returns what became of it; never `pending`
   * @example
   * if ((await pool.probe('i-7f3a', '10.1.2.3:8080')) === 'accepted') resumeSending();
   */
  async probe(endpointId: string, address: string): Promise<OpeningResult> {
    const connection = this.createConnection(endpointId, address);
    if (connection === undefined) return 'failed';
    const result = await connection.open();
    if (connection.isEstablished) this.release(endpointId, connection);
    return result;
  }

  /** Closes the idle connections of an endpoint that accepts no more requests. */
  closeIdleConnections(endpointId: string): void {
    const connections = this.byEndpoint.get(endpointId);
    if (connections === undefined) return;
    for (const connection of [...connections.idle]) connection.close();
  }

  /** Closes all connections and fails the exchanges in progress. */
  closeAll(): void {
    for (const { all } of [...this.byEndpoint.values()]) {
      for (const connection of [...all]) connection.close();
    }
  }

  private hasConnectionOlderThan(endpointId: string, atMs: number, isRead: boolean): boolean {
    for (const connection of this.byEndpoint.get(endpointId)?.all ?? [])
      if (connection.isRead === isRead && connection.isOlderThan(atMs)) return true;
    return false;
  }

  private acquireConnection(
    endpointId: string,
    address: string,
    maxConnections: number,
    canReuse: boolean,
  ): EndpointConnection | undefined {
    const idleConnections = this.byEndpoint.get(endpointId)?.idle ?? [];
    while (canReuse) {
      const idle = idleConnections.pop();
      if (idle === undefined) break;
      if (idle.isUsable) return idle;
      idle.close();
    }
    const openConnections = this.byEndpoint.get(endpointId)?.all.size ?? 0;
    return openConnections < maxConnections
      ? this.createConnection(endpointId, address)
      : undefined;
  }

  private createConnection(endpointId: string, address: string): EndpointConnection | undefined {
    const connections = this.byEndpoint.get(endpointId) ?? { idle: [], all: new Set() };
    // Registrations come from other writers, and the HTTP client throws on an invalid address.
    if (parseSocketAddress(address) === undefined) return undefined;
    const recordLoss = () => this.lossTimes.set(endpointId, this.dependencies.clock.nowMs());
    const created = EndpointConnection.create(address, this.dependencies, {
      onClosed: (closed) => this.remove(endpointId, closed),
      onIdleLost: () => {
        recordLoss();
        this.onIdleConnectionLost(endpointId);
      },
      onBroken: recordLoss,
      onOpening: (progress) => this.onOpening(endpointId, progress),
    });
    connections.all.add(created);
    this.byEndpoint.set(endpointId, connections);
    this.openedConnectionCount += 1;
    return created;
  }

  /** Closes the idle connection that was not used for longest if no new one may be opened. */
  private makeRoom(endpointId: string, maxConnections: number): void {
    const connections = this.byEndpoint.get(endpointId);
    if (maxConnections > 0 && connections !== undefined && connections.all.size >= maxConnections)
      connections.idle[0]?.close();
  }

  private release(endpointId: string, connection: EndpointConnection): void {
    const connections = this.byEndpoint.get(endpointId);
    if (connections?.all.has(connection)) connections.idle.push(connection);
    else connection.close();
  }

  private remove(endpointId: string, connection: EndpointConnection): void {
    const connections = this.byEndpoint.get(endpointId);
    if (connections === undefined) return;
    connections.all.delete(connection);
    const position = connections.idle.indexOf(connection);
    if (position >= 0) connections.idle.splice(position, 1);
    if (connections.all.size === 0) this.byEndpoint.delete(endpointId);
  }
}
