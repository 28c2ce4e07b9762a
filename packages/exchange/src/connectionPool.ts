import { ReadPacer } from '@lovagearch/bounded-http';
import { parseSocketAddress } from '@lovagearch/common';
import { EndpointConnection } from './endpointConnection.js';
import type { EndpointRequest, Exchange, ExchangeListener } from './types.js';

interface EndpointConnections {
  /** A stack: the most recently used connection is reused first, so that surplus ones time out. */
  readonly idle: EndpointConnection[];
  readonly all: Set<EndpointConnection>;
}

/**
 * Keep-alive connections to all endpoints.
 *
 * @example
 * const exchange = pool.send('i-7f3a', '10.1.2.3:8080', 40, request, listener);
 * if (exchange === undefined) return refuse('no free connection');
 */
export class ConnectionPool {
  private readonly byEndpoint = new Map<string, EndpointConnections>();

  private openedConnectionCount = 0;

  /** Called with the id of an endpoint that closed a connection between two exchanges. */
  onIdleConnectionLost: (endpointId: string) => void = () => undefined;

  private constructor(private readonly pacer: ReadPacer) {}

  /** @param pacer limits the chunks that the process handles; by default one of this pool */
  static create(pacer = ReadPacer.create()): ConnectionPool {
    return new ConnectionPool(pacer);
  }

  /** Number of connections opened since the process started. */
  get openedConnections(): number {
    return this.openedConnectionCount;
  }

  /** Returns whether a request can be sent now, on an idle connection or a new one. */
  hasFreeConnection(endpointId: string, maxConnections: number): boolean {
    const connections = this.byEndpoint.get(endpointId);
    if (connections === undefined) return maxConnections > 0;
    return connections.idle.length > 0 || connections.all.size < maxConnections;
  }

  /**
   * Sends a request on an idle connection or a new one.
   *
   * @param endpointId changes when an endpoint restarts, so that it gets new connections
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

  private acquireConnection(
    endpointId: string,
    address: string,
    maxConnections: number,
    canReuse: boolean,
  ): EndpointConnection | undefined {
    const connections = this.byEndpoint.get(endpointId) ?? { idle: [], all: new Set() };
    while (canReuse) {
      const idle = connections.idle.pop();
      if (idle === undefined) break;
      if (idle.isUsable) return idle;
      idle.close();
    }
    if (connections.all.size >= maxConnections) return undefined;
    // Registrations come from other writers, and the HTTP client throws on an invalid address.
    if (parseSocketAddress(address) === undefined) return undefined;
    const created = EndpointConnection.create(
      address,
      this.pacer,
      (closed) => this.remove(endpointId, closed),
      () => this.onIdleConnectionLost(endpointId),
    );
    connections.all.add(created);
    this.byEndpoint.set(endpointId, connections);
    this.openedConnectionCount += 1;
    return created;
  }

  /** Closes the idle connection that was not used for longest if no new one may be opened. */
  private makeRoom(endpointId: string, maxConnections: number): void {
    const connections = this.byEndpoint.get(endpointId);
    if (connections !== undefined && connections.all.size >= maxConnections)
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
