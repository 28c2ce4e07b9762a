import { once } from 'node:events';
import { createServer, type RequestListener } from 'node:http';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import t, { type Test } from 'tap';
import { MemoryBudget } from '@lovagearch/bounded-http';
import { CALLER_LISTENER, ConnectionAdmission } from './connectionAdmission.js';
import {
  ADMISSION_WAIT_LIMIT_MS,
  CONNECTION_CHECK_INTERVAL_MS,
  UNREAD_RESPONSE_LIMIT_MS,
} from './constants.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayMetrics } from './gatewayMetrics.js';

const MEMORY_BYTES = 10_000_000;
const PAUSE_MS = 20;

/** A server behind gates whose clock runs ahead by `skippedMs`. */
const startServer = async (
  t2: Test,
  handle: RequestListener,
  memoryBytes = MEMORY_BYTES,
  listener = CALLER_LISTENER,
) => {
  const server = createServer(handle);
  const state = { skippedMs: 0, memoryBytes, limits: [] as string[] };
  const limits = {
    maxConnections: 10,
    bodyMemoryBytes: MEMORY_BYTES,
    get memoryBytes() {
      return state.memoryBytes;
    },
  };
  const admission = ConnectionAdmission.create({
    intake: { recordConnection: () => undefined },
    limits,
    bodyMemory: MemoryBudget.create(MEMORY_BYTES),
    clock: { nowMs: () => performance.now() + state.skippedMs },
    log: { logProblem: () => undefined } as unknown as GatewayLog,
    metrics: {
      recordCallerLimit: (limit: string) => state.limits.push(limit),
    } as unknown as GatewayMetrics,
  });
  admission.protect(server, listener, () => MEMORY_BYTES);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t2.teardown(() => {
    admission.stop();
    server.close();
    server.closeAllConnections();
  });
  const address = server.address();
  return {
    server,
    state,
    port: typeof address === 'object' && address !== null ? address.port : 0,
  };
};

/** Sends bytes on a new connection and returns what was answered until it ends. */
const sendBytes = async (port: number, bytes: string): Promise<string> => {
  const socket = connect(port, '127.0.0.1');
  let text = '';
  socket.on('data', (chunk) => {
    text += chunk.toString('latin1');
  });
  socket.on('error', () => undefined);
  socket.write(bytes);
  await once(socket, 'close');
  return text;
};

const CHUNKED_HEAD =
  'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n';

// Guards against a body of many chunks that is never handed on, as the process paused its connection for a while.
t.test('a body goes on after its connection was paused', async (t2) => {
  const { port } = await startServer(t2, (incoming, response) => {
    let length = 0;
    incoming.once('data', () => {
      incoming.socket.pause();
      setTimeout(() => incoming.socket.resume(), PAUSE_MS);
    });
    incoming.on('data', (chunk: Buffer) => {
      length += chunk.length;
    });
    incoming.once('end', () => response.end(`length ${length}`));
  });
  const body = `${'1\r\na\r\n'.repeat(3_000)}0\r\n\r\n`;
  const answer = await Promise.race([sendBytes(port, CHUNKED_HEAD + body), sleep(2_000, 'none')]);
  t2.match(answer, /length 3000$/);
});

// Guards against a response that is cut because the process worked on it for longer than a caller may take to read it.
t.test('a response that was long in coming may take a moment to be read', async (t2) => {
  const body = Buffer.alloc(8_000_000, 'a');
  const { state, port } = await startServer(t2, (_, response) => {
    state.skippedMs = 2 * UNREAD_RESPONSE_LIMIT_MS;
    response.end(body);
  });
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.write('GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n');
  await sleep(3 * CONNECTION_CHECK_INTERVAL_MS);
  let length = 0;
  socket.on('data', (chunk: Buffer) => {
    length += chunk.length;
  });
  await once(socket, 'close');
  t2.ok(length > body.length, `${length} bytes`);
  t2.strictSame(state.limits, []);
});

// Guards against a refused request, or one inside its body, that runs after all.
t.test('nothing that arrives behind a request that was refused is read', async (t2) => {
  const paths: string[] = [];
  const { state, port, server } = await startServer(
    t2,
    (incoming, response) => {
      paths.push(incoming.url ?? '');
      response.end();
    },
    1,
  );
  const accepted = once(server, 'connection') as Promise<[Socket]>;
  const answer = sendBytes(port, 'GET /refused HTTP/1.1\r\nHost: a\r\n\r\n');
  const [socket] = await accepted;
  await sleep(PAUSE_MS);
  const end = socket.end.bind(socket);
  state.skippedMs = 2 * ADMISSION_WAIT_LIMIT_MS;
  Object.assign(socket, {
    end: (bytes: string, onEnd: () => void) => {
      state.memoryBytes = MEMORY_BYTES;
      end(bytes, onEnd);
      socket.push(Buffer.from('GET /behind HTTP/1.1\r\nHost: a\r\n\r\n'));
    },
  });
  t2.match(await answer, /^HTTP\/1.1 503 /);
  t2.strictSame(paths, []);
});

// Guards against a process that counts as not ready while callers' requests in progress take all memory.
t.test('readiness is answered at once without memory for requests', async (t2) => {
  const { state, port } = await startServer(t2, (_, response) => response.end(), 1, 'readiness');
  const request = 'GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n';
  t2.match(await sendBytes(port, request), /^HTTP\/1.1 200 /);
  t2.strictSame(state.limits, []);
});
