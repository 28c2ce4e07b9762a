import { once } from 'node:events';
import { createServer, type Socket } from 'node:net';
import t from 'tap';
import { startGateway } from './index.js';
import {
  createDependencies,
  createRows,
  ENDPOINT_HEADER,
  LIMIT_HEADER,
  MODEL_HEADER,
  REQUEST_ID_HEADER,
  SEAL_HEADER,
  send,
  SETTINGS,
  waitUntilReady,
  WEIGHTS_HEADER,
} from './testGateway.js';

/** A request as the endpoint receives it. */
interface Received {
  readonly socket: Socket;
  readonly id: string;
  /** The first id that was received on the connection. */
  readonly firstId: string;
}

const formatResponse = (status: string, headers: readonly string[], body = ''): string =>
  [`HTTP/1.1 ${status}`, ...headers, `Content-Length: ${body.length}`, '', body].join('\r\n');

const formatSuccess = (id: string): string =>
  formatResponse('200 OK', [`${REQUEST_ID_HEADER}: ${id}`, `${SEAL_HEADER}: 1`], 'whole');

const formatRefusal = (...headers: readonly string[]): string =>
  formatResponse('503 Service Unavailable', ['x-not-run: 1', ...headers]);

const formatMismatch = (id: string): string =>
  formatResponse('421 Misdirected Request', [
    'x-not-run: 1',
    'x-misdirected: 1',
    `${REQUEST_ID_HEADER}: ${id}`,
    `${ENDPOINT_HEADER}: i-0`,
    `${WEIGHTS_HEADER}: 2`,
  ]);

/** Endpoint that writes its responses itself, as a faulty one writes some more than once. */
class RawEndpoint {
  respond: (received: Received) => void = ({ socket, id }) => socket.write(formatSuccess(id));

  private readonly sockets = new Set<Socket>();

  private readonly server = createServer((socket) => {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    let text = '';
    let firstId = '';
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      const head = /^([^]*?)\r\n\r\n/.exec(text)?.[1];
      if (head === undefined) return;
      text = '';
      const id = new RegExp(`^${REQUEST_ID_HEADER}: (.*)$`, 'im').exec(head)?.[1]?.trim() ?? '';
      if (firstId === '') firstId = id;
      this.respond({ socket, id, firstId });
    });
  });

  async start(): Promise<number> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

t.test('an earlier refusal that is written once more', async (t2) => {
  const endpoint = new RawEndpoint();
  const rows = createRows([await endpoint.start()]);
  const gateway = await startGateway(SETTINGS, createDependencies(rows), '/ready');
  await waitUntilReady(gateway);

  const own = (id: string) => `${REQUEST_ID_HEADER}: ${id}`;
  // Guards against a refusal as not run of a request that the endpoint is running.
  for (const [name, format] of [
    ['with its id', (firstId: string) => formatRefusal(own(firstId))],
    ['without an id', () => formatRefusal()],
    ['with an empty id', () => formatRefusal(own(''))],
    ['with both ids', (firstId: string, id: string) => formatRefusal(own(firstId), own(id))],
    ['with the id twice', (_firstId: string, id: string) => formatRefusal(own(id), own(id))],
    [
      'with a list of ids',
      (firstId: string, id: string) => formatRefusal(own(`${id}, ${firstId}`)),
    ],
    ['as a failure without an id', () => formatResponse('500 Internal Server Error', [])],
  ] as const) {
    await t2.test(`${name} is not taken for one of the next request`, async (t3) => {
      let runs = 0;
      endpoint.respond = ({ socket, id, firstId }) => {
        if (id === firstId || id === `${name}1`) {
          socket.write(formatSuccess(id));
          return;
        }
        runs += 1;
        socket.write(format(firstId, id));
      };
      t3.equal((await send(gateway, '/claim/x', `${name}1`, 'pay')).status, 200);
      const { status, text } = await send(gateway, '/claim/x', `${name}2`, 'pay');
      t3.equal(status, 502);
      t3.match(text, 'endpoint_failed');
      t3.equal(runs, 1);
    });
  }

  // Guards against a repeated refusal with the right id: the request is sent again to the same endpoint
  // once its weights are known.
  await t2.test('of the same request is not taken for one of its repeat', async (t3) => {
    const runs: string[] = [];
    const refusedOn: Socket[] = [];
    endpoint.respond = ({ socket, id }) => {
      const isRepeated = refusedOn.includes(socket);
      // Two refusals are true: the weights have changed once more before the second.
      const isTrue = !isRepeated && refusedOn.length < 2;
      if (isTrue) refusedOn.push(socket);
      else runs.push(id);
      socket.write(isTrue || isRepeated ? formatMismatch(id) : formatSuccess(id));
    };
    const { status } = await send(gateway, '/claim/x', 'w1', 'pay', undefined, {
      [MODEL_HEADER]: 'm0',
    });
    t3.equal(status, 200);
    t3.strictSame(runs, ['w1']);
  });

  for (const [name, delayMs] of [
    ['in the same segment', undefined],
    ['while the connection idles', 20],
  ] as const) {
    await t2.test(`${name} closes the connection`, async (t3) => {
      const sockets: Socket[] = [];
      let closed: Promise<unknown> = Promise.resolve();
      endpoint.respond = ({ socket, id }) => {
        const refusal = formatRefusal(own(id));
        sockets.push(socket);
        closed = once(socket, 'close');
        if (delayMs === undefined) socket.write(`${refusal}${refusal}`);
        else socket.write(refusal, () => setTimeout(() => socket.write(refusal), delayMs));
      };
      t3.equal((await send(gateway, '/claim/x', `${name}1`, 'pay')).status, 503);
      await closed;
      endpoint.respond = ({ socket, id }) => {
        sockets.push(socket);
        socket.write(formatSuccess(id));
      };
      t3.equal((await send(gateway, '/claim/x', `${name}2`, 'pay')).status, 200);
      t3.equal(new Set(sockets).size, 2);
    });
  }

  // Guards against limits and loads of a response that belongs to no request in progress.
  await t2.test('without an id changes nothing about the endpoint', async (t3) => {
    endpoint.respond = ({ socket, id }) =>
      socket.write(id === 'l2' ? formatRefusal(`${LIMIT_HEADER}: 0`) : formatSuccess(id));
    await send(gateway, '/claim/x', 'l1', 'pay');
    t3.equal((await send(gateway, '/claim/x', 'l2', 'pay')).status, 502);
    endpoint.respond = ({ socket, id }) => socket.write(formatSuccess(id));
    for (const id of ['l3', 'l4', 'l5'])
      t3.equal((await send(gateway, '/claim/x', id, 'pay')).status, 200);
  });

  await gateway.drain('test');
  endpoint.stop();
});
