import { once } from 'node:events';
import { createServer, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { ConnectionPool } from './index.js';

const HEAD = 'HTTP/1.1 200 OK\r\n';
/** Beginnings of responses by what shows their end. */
const STARTS = {
  connection: `${HEAD}\r\nfirst`,
  length: `${HEAD}Content-Length: 100\r\nConnection: close\r\n\r\nfirst`,
  chunks: `${HEAD}Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n`,
} as const;
type Framing = keyof typeof STARTS;
const ENDINGS = ['cancel', 'close_all', 'endpoint_closes', 'endpoint_resets'] as const;
type Ending = (typeof ENDINGS)[number];
const DEADLINE_MS = 5_000;
const RESUME_DELAY_MS = 20;

/** Whether the response counts as ended: its length and chunks say no, and its connection only by a close. */
const getResult = (framing: Framing, ending: Ending): readonly string[] => {
  if (ending === 'cancel') return [];
  return framing === 'connection' && ending === 'endpoint_closes' ? ['connection'] : ['broken'];
};

const play = async (framing: Framing, ending: Ending, isPaused: boolean): Promise<string[]> => {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => socket.write(STARTS[framing]));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  const port = typeof address === 'object' && address !== null ? address.port : 0;
  const pool = ConnectionPool.create();
  const results: string[] = [];
  const request = {
    method: 'GET',
    path: '/',
    createHeaders: () => ['host', 'x'],
    body: undefined,
    isRepeat: false,
  };
  await new Promise<void>((resolve) => {
    const finish = (result: string) => {
      results.push(result);
      resolve();
    };
    const exchange = pool.send('i-1', `127.0.0.1:${port}`, 4, request, {
      canSend: () => true,
      onHeaders: () => undefined,
      onData: () => {
        if (isPaused) exchange?.pause();
        setImmediate(() => {
          const [socket] = sockets;
          socket?.once('close', () => setImmediate(resolve));
          // What the response still has is read before its end.
          if (isPaused) setTimeout(() => exchange?.resume(), RESUME_DELAY_MS);
          switch (ending) {
            case 'cancel':
              exchange?.cancel();
              return;
            case 'close_all':
              pool.closeAll();
              return;
            case 'endpoint_closes':
              socket?.end();
              return;
            case 'endpoint_resets':
              socket?.resetAndDestroy();
              return;
            default:
              ending satisfies never;
          }
        });
      },
      onEnd: ({ type }) => finish(type),
      onFailure: ({ type }) => finish(type),
    });
  });
  // The gateway's end of the connection closes after the endpoint's.
  for (let waitedMs = 0; waitedMs < DEADLINE_MS; waitedMs += 10) {
    if (results.length === getResult(framing, ending).length) break;
    await sleep(10);
  }
  pool.closeAll();
  server.close();
  return results;
};

// Guards against errors of the HTTP client that nothing catches, 20 of which within 10 s end a process, and against
// responses that never end for their reader.
t.test('a response that is cut off in its middle is no uncaught error', async (t2) => {
  const errors: string[] = [];
  const handleError = (error: Error) => errors.push(String(error.stack));
  process.on('uncaughtException', handleError);
  t2.teardown(() => process.off('uncaughtException', handleError));
  for (const framing of ['connection', 'length', 'chunks'] as const)
    for (const ending of ENDINGS)
      for (const isPaused of [false, true]) {
        const name = `${framing}, ${ending}${isPaused ? ', paused' : ''}`;
        t2.strictSame(await play(framing, ending, isPaused), getResult(framing, ending), name);
        t2.strictSame(errors.splice(0), [], name);
      }
});
