import { createServer, type Socket } from 'node:net';
import { once } from 'node:events';
import t from 'tap';
import { ConnectionPool } from './index.js';

const BODY = 'id: 1\ndata: abc\n\nid: 2\ndata: def\n\n';
const CHUNK = 'id: 1\ndata: abc\n\n';

/** How a response shows its end. */
type Framing = 'chunks' | 'connection' | 'length';
/** How an endpoint ends a connection in the middle of a response. */
type Ending = 'close' | 'reset';

const createResponse = (framing: Framing, isLast: boolean): { head: string; body: string } => {
  const lines = [
    'HTTP/1.1 200 OK',
    'x-id: r-1',
    'x-seal: 3e1b.07',
    'Content-Type: text/event-stream',
  ];
  if (isLast) lines.push('Connection: close');
  let body = BODY;
  if (framing === 'length') lines.push(`Content-Length: ${BODY.length}`);
  if (framing === 'chunks') {
    lines.push('Transfer-Encoding: chunked');
    const size = CHUNK.length.toString(16);
    body = `${size}\r\n${CHUNK}\r\n${size};x=y\r\n${BODY.slice(CHUNK.length)}\r\n0\r\na: b\r\n\r\n`;
  }
  return { head: `${lines.join('\r\n')}\r\n\r\n`, body };
};

/** What the first `length` bytes of a response may be taken for, followed by the end of its connection. */
const getAllowedResult = (
  { head, body }: { head: string; body: string },
  length: number,
  framing: Framing,
  ending: Ending,
): string => {
  if (length === head.length + body.length && framing !== 'connection') return `end:${BODY}`;
  const hasWholeHead = length >= head.length;
  if (framing === 'connection' && ending === 'close' && hasWholeHead)
    return `end:${body.slice(0, length - head.length)}`;
  return 'broken';
};

const send = (pool: ConnectionPool, port: number): Promise<string> =>
  new Promise((resolve) => {
    let body = '';
    const request = {
      method: 'GET',
      path: '/',
      createHeaders: () => ['host', 'x'],
      body: undefined,
      isRepeat: false,
    };
    pool.send('i-1', `127.0.0.1:${port}`, 4, request, {
      canSend: () => true,
      onHeaders: () => undefined,
      onData: (chunk) => {
        body += chunk.toString();
      },
      onEnd: () => resolve(`end:${body}`),
      onFailure: ({ type }) => resolve(type),
    });
  });

const FIRST_RESPONSE = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst';

/** Starts an endpoint that breaks a response off; on a kept connection it is the second one. */
const startEndpoint = async (getBreakOff: () => (socket: Socket) => void, isKept: boolean) => {
  const server = createServer((socket) => {
    let requests = 0;
    socket.on('error', () => undefined);
    socket.on('data', () => {
      requests += 1;
      if (isKept && requests === 1) socket.write(FIRST_RESPONSE);
      else getBreakOff()(socket);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  return { server, port: typeof address === 'object' && address !== null ? address.port : 0 };
};

/** Lists the positions at which a response whose end is taken for another one than allowed was broken off. */
const findFaults = async (
  framing: Framing,
  isLast: boolean,
  isKept: boolean,
  ending: Ending,
): Promise<string[]> => {
  const response = createResponse(framing, isLast);
  const bytes = Buffer.from(response.head + response.body);
  let length = 0;
  const { server, port } = await startEndpoint(
    () => (socket) => {
      const part = bytes.subarray(0, length);
      if (ending === 'close') socket.end(part);
      else socket.write(part, () => setImmediate(() => socket.resetAndDestroy()));
    },
    isKept,
  );
  const faults: string[] = [];
  const pool = ConnectionPool.create();
  // A reset may drop bytes that were sent before, so that a whole response isn't always received.
  const maxLength = ending === 'close' ? bytes.length : bytes.length - 1;
  for (; length <= maxLength; length++) {
    if (isKept) await send(pool, port);
    // The connection becomes free for the next request in the next turn of the event loop.
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    const result = await send(pool, port);
    const allowed = getAllowedResult(response, length, framing, ending);
    if (result !== allowed) faults.push(`${length} of ${bytes.length} bytes: ${result}`);
    pool.closeAll();
  }
  server.close();
  return faults;
};

// Guards against a success with an empty or short body that looks whole, after an endpoint stopped in the middle
// of a response. Each response is broken off after each of its bytes.
for (const framing of ['length', 'chunks', 'connection'] as const) {
  for (const isLast of [false, true]) {
    for (const isKept of [false, true]) {
      for (const ending of ['close', 'reset'] as const) {
        const name = [
          `framed by ${framing}`,
          isLast ? 'the last of its connection' : 'followed by others',
          isKept ? 'on a connection in use before' : 'on a new connection',
        ].join(', ');
        t.test(
          `a response that ends with a ${ending} is complete or broken: ${name}`,
          async (t2) => {
            t2.strictSame(await findFaults(framing, isLast, isKept, ending), []);
          },
        );
      }
    }
  }
}
