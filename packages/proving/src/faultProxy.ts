import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import type { LinkDirection } from './link.js';

/**
 * What the proxy does to bytes. `silent_existing` drops the bytes of connections that are open at that
 * moment, both ways and for good, while new connections work; `silent` drops all bytes; `one_way`
 * drops the bytes towards the caller only; `refuse` closes every connection.
 */
export type FaultMode = 'one_way' | 'pass' | 'refuse' | 'silent_existing' | 'silent';

interface ProxiedConnection {
  readonly caller: Socket;
  readonly target: Socket;
  isSilent: boolean;
  /** Whether bytes towards the caller were dropped, behind which no end of the connection may arrive. */
  hasLostBytes: boolean;
}

export interface FaultProxyOptions {
  readonly targetHost: string;
  readonly targetPort: number;
  /** Delay and bandwidth towards the target; none without it. */
  readonly towardsTarget?: LinkDirection;
  /** Delay and bandwidth towards the caller; none without it. */
  readonly towardsCaller?: LinkDirection;
}

/**
 * A TCP proxy on loopback that injects faults between two processes.
 *
 * @example
 * const proxy = await FaultProxy.start({ targetHost: '127.0.0.1', targetPort: 9000 });
 * proxy.setMode('silent_existing');
 */
export class FaultProxy {
  private readonly connections = new Set<ProxiedConnection>();

  private mode: FaultMode = 'pass';

  private targetPort: number;

  private constructor(
    private readonly server: Server,
    private readonly options: FaultProxyOptions,
  ) {
    this.targetPort = options.targetPort;
    server.on('connection', (caller) => this.handleConnection(caller));
  }

  static async start(options: FaultProxyOptions): Promise<FaultProxy> {
    const server = createServer({ allowHalfOpen: false });
    const proxy = new FaultProxy(server, options);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    return proxy;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  get connectionCount(): number {
    return this.connections.size;
  }

  /** Leads new connections to another port, for a process that starts after its proxy. */
  setTargetPort(port: number): void {
    this.targetPort = port;
  }

  setMode(mode: FaultMode): void {
    this.mode = mode;
    for (const connection of this.connections) {
      if (mode === 'silent_existing') connection.isSilent = true;
      if (mode === 'refuse') this.closeConnection(connection);
      if (mode === 'pass' && connection.hasLostBytes && connection.target.destroyed)
        this.closeConnection(connection);
    }
  }

  /** Closes all connections with a reset, without changing the mode. */
  resetConnections(): void {
    for (const connection of this.connections) this.closeConnection(connection);
  }

  async stop(): Promise<void> {
    for (const connection of this.connections) this.closeConnection(connection);
    const closed = once(this.server, 'close');
    this.server.close();
    await closed;
  }

  private handleConnection(caller: Socket): void {
    if (this.mode === 'refuse') {
      caller.resetAndDestroy();
      return;
    }
    const target = connect(this.targetPort, this.options.targetHost);
    const connection: ProxiedConnection = { caller, target, isSilent: false, hasLostBytes: false };
    this.connections.add(connection);
    caller.setNoDelay(true);
    target.setNoDelay(true);
    caller.on('data', (chunk: Buffer) => {
      if (connection.isSilent || this.mode === 'silent') return;
      this.forward(target, chunk, this.options.towardsTarget);
    });
    target.on('data', (chunk: Buffer) => {
      if (connection.isSilent || this.mode === 'silent' || this.mode === 'one_way') {
        connection.hasLostBytes = true;
        return;
      }
      this.forward(caller, chunk, this.options.towardsCaller);
    });
    for (const socket of [caller, target]) {
      let wasReset = false;
      socket.on('error', () => this.closeConnection(connection));
      // Node.js reports a reset that arrives together with bytes as an end, behind which there is no remote port.
      socket.on('end', () => {
        wasReset = socket.remotePort === undefined;
      });
      socket.on('close', () => {
        // A connection that went silent must look alive to both ends, so its end is not passed on;
        // neither is one behind lost bytes, which TCP would never deliver.
        const isUnseen = connection.isSilent || (socket === target && connection.hasLostBytes);
        if (isUnseen) return;
        if (wasReset) this.closeConnection(connection);
        else this.closeAfterDelay(connection);
      });
    }
  }

  private forward(to: Socket, chunk: Buffer, direction: LinkDirection | undefined): void {
    if (to.destroyed) return;
    if (direction === undefined) {
      to.write(chunk);
      return;
    }
    direction.send(chunk.length, () => {
      if (!to.destroyed) to.write(chunk);
    });
  }

  /** Lets delayed bytes arrive before the connection closes. */
  private closeAfterDelay(connection: ProxiedConnection): void {
    const delayMs = Math.max(
      this.options.towardsCaller?.getBacklogMs() ?? 0,
      this.options.towardsTarget?.getBacklogMs() ?? 0,
    );
    setTimeout(() => {
      connection.caller.end();
      connection.target.end();
      this.connections.delete(connection);
    }, delayMs);
  }

  private closeConnection(connection: ProxiedConnection): void {
    this.connections.delete(connection);
    connection.caller.resetAndDestroy();
    connection.target.resetAndDestroy();
  }
}
