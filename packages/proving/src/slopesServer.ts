import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

/** An HTTP server on loopback that answers every call with one body and counts the bytes of both directions. */
export class CountingServer {
  private readonly sockets = new Set<Socket>();

  private closedBytes = 0;

  /** Number of calls answered. */
  calls = 0;

  private constructor(private readonly server: Server) {}

  static async start(createBody: (path: string) => string): Promise<CountingServer> {
    const server = createServer();
    const counting = new CountingServer(server);
    server.on('connection', (socket: Socket) => {
      counting.sockets.add(socket);
      socket.on('close', () => {
        counting.sockets.delete(socket);
        counting.closedBytes += socket.bytesRead + socket.bytesWritten;
      });
    });
    server.on('request', (request, response) => {
      counting.calls += 1;
      response.setHeader('content-type', 'application/json; charset=utf-8');
      response.end(createBody(request.url ?? ''));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    return counting;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /** Bytes of HTTP in both directions, without the headers of TCP and IP. */
  get bytes(): number {
    let sum = this.closedBytes;
    for (const socket of this.sockets) sum += socket.bytesRead + socket.bytesWritten;
    return sum;
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    this.server.close();
    await once(this.server, 'close');
  }
}
