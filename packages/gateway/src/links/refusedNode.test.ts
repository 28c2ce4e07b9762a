import { createServer } from 'node:http';
import { once } from 'node:events';
import type { Socket } from 'node:net';
import t from 'tap';
import { startGateway } from '../index.js';
import {
  createDependencies,
  createRows,
  FakeEndpoint,
  REQUEST_ID_HEADER,
  SEAL_HEADER,
  send,
  SETTINGS,
  waitUntilReady,
} from '../testGateway.js';

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** An endpoint whose open connections live on while it takes no new ones. */
class RefusingEndpoint {
  readonly received: string[] = [];

  private readonly connections = new Set<Socket>();

  private readonly server = createServer((incoming, response) => {
    const id = String(incoming.headers[REQUEST_ID_HEADER]);
    this.received.push(id);
    response.writeHead(HTTP_OK, { [SEAL_HEADER]: '1', [REQUEST_ID_HEADER]: id }).end('whole');
  });

  private port = 0;

  async start(): Promise<number> {
    this.server.on('connection', (socket) => {
      this.connections.add(socket);
      socket.once('close', () => this.connections.delete(socket));
    });
    this.server.listen(this.port, '127.0.0.1');
    await once(this.server, 'listening');
    const address = this.server.address();
    this.port = typeof address === 'object' && address !== null ? address.port : 0;
    return this.port;
  }

  /** Closes the listener; idle connections stay open. */
  refuse(): void {
    // The HTTP server's own method would close them as well.
    Object.assign(this.server, { closeIdleConnections: () => undefined });
    this.server.close();
  }

  stop(): void {
    this.server.close();
    for (const socket of this.connections) socket.destroy();
  }
}

// Guards against requests that fail at an endpoint behind a cut while others take them, and against one left out for good.
t.test('requests are served while one of two endpoints refuses this node', async (t2) => {
  const refusing = new RefusingEndpoint();
  const sound = new FakeEndpoint();
  const ports = [await refusing.start(), await sound.start()];
  t2.teardown(() => refusing.stop());
  t2.teardown(() => sound.stop());
  const gateway = await startGateway(SETTINGS, createDependencies(createRows(ports)), '/ready');
  t2.teardown(async () => gateway.drain('test'));
  await waitUntilReady(gateway);
  refusing.refuse();
  const sendAtOnce = (name: string) =>
    Promise.all(
      Array.from({ length: 6 }, (_, index) => send(gateway, '/read/x', `${name}-${index}`)),
    );
  for (let round = 0; round < 10; round += 1)
    for (const { status } of await sendAtOnce(`refused-${round}`)) t2.equal(status, HTTP_OK);
  await refusing.start();
  const receivedBefore = refusing.received.length;
  // An endpoint that nobody hears is tried again after 3 s at most, however many requests there are meanwhile.
  for (let round = 0; refusing.received.length <= receivedBefore + 6; round += 1)
    await sendAtOnce(`again-${round}`);
});

// Guards against a node without links that says its endpoints are overloaded, and that doesn't come back.
t.test(
  'a node that reaches no endpoint refuses at once and serves again afterwards',
  async (t2) => {
    const endpoint = new RefusingEndpoint();
    const port = await endpoint.start();
    const gateway = await startGateway(SETTINGS, createDependencies(createRows([port])), '/ready');
    t2.teardown(async () => gateway.drain('test'));
    await waitUntilReady(gateway);
    endpoint.stop();
    const statuses = new Set<number>();
    for (let round = 0; round < 20; round += 1) {
      const { status, text } = await send(gateway, '/read/x', `cut-${round}`);
      statuses.add(status);
      t2.notMatch(text, /would take/);
    }
    t2.strictSame([...statuses], [HTTP_UNAVAILABLE]);
    await endpoint.start();
    t2.teardown(() => endpoint.stop());
    for (;;) {
      const { status } = await send(gateway, '/read/x', 'healed');
      if (status === HTTP_OK) break;
    }
  },
);
