import { once } from 'node:events';
import { connect, createServer, type Socket } from 'node:net';
import { Worker } from 'node:worker_threads';
import t from 'tap';

/** Workers that evaluate a source resolve no packages. */
const BOUNDED_HTTP = new URL('../../bounded-http/dist/index.js', import.meta.url).href;

/** Heap of the worker; a hundred bytes for each chunk of a byte would exceed it. */
const HEAP_MB = 48;
const CHUNKS_PER_WRITE = 4_096;
/** Requests whose responses never end at the same time. */
const REQUESTS = 4;

const startServer = async (onRequest: (socket: Socket, text: string) => void) => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => onRequest(socket, bytes.toString('latin1')));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  const port = typeof address === 'object' && address !== null ? address.port : 0;
  const stop = () => {
    for (const socket of sockets) socket.destroy();
    server.close();
  };
  return { port, stop };
};

const writeWithoutEnd = (socket: Socket, text: string) => {
  const bytes = Buffer.from(text);
  const write = () => {
    while (!socket.destroyed && socket.write(bytes));
  };
  socket.on('drain', write);
  write();
};

const startWorker = (source: string, data: object): Worker =>
  new Worker(source, {
    eval: true,
    workerData: {
      ...data,
      modules: import.meta.url,
      boundedHttp: BOUNDED_HTTP,
    },
    resourceLimits: { maxOldGenerationSizeMb: HEAP_MB },
  });

/** Returns the next message of a worker, or the error that ended it. */
const readMessage = (worker: Worker): Promise<unknown> =>
  Promise.race([
    once(worker, 'message').then(([message]: unknown[]) => message),
    once(worker, 'error').then(([error]: unknown[]) => String(error)),
  ]);

/** Sends requests whose responses never end to a gateway with one endpoint, all at once, then a sound one. */
const GATEWAY_SOURCE = `
const { parentPort, workerData } = require('node:worker_threads');
const { port, modules, requests } = workerData;
const load = (name) => import(new URL(name, modules));
const run = async () => {
  const { startGateway } = await load('./index.js');
  const { createDependencies, createRows, send, SETTINGS, waitUntilReady } = await load('./testGateway.js');
  const gateway = await startGateway(SETTINGS, createDependencies(createRows([port])), '/ready');
  await waitUntilReady(gateway);
  const endless = Array.from({ length: requests }, (_, index) =>
    send(gateway, '/claim/x', 'endless-' + index).then(({ text }) => text.length, String));
  await Promise.all(endless);
  const { status, text } = await send(gateway, '/read/x', 'sound');
  parentPort.postMessage({ status, text });
};
run();
`;

// Guards against a process that ends with its heap full while an endpoint answers without end in small chunks.
t.test('answers without end in chunks of few bytes leave the process running', async (t2) => {
  for (const chunk of ['x', 'xxx']) {
    const { port, stop } = await startServer((socket, text) => {
      const id = /^x-id: (.*)$/im.exec(text)?.[1]?.trim() ?? '';
      const head = ['HTTP/1.1 200 OK', 'x-seal: 1', `x-id: ${id}`];
      if (!id.startsWith('endless')) {
        socket.write([...head, 'content-length: 5', '', 'whole'].join('\r\n'));
        return;
      }
      socket.write([...head, 'transfer-encoding: chunked', '', ''].join('\r\n'));
      writeWithoutEnd(
        socket,
        `${chunk.length.toString(16)}\r\n${chunk}\r\n`.repeat(CHUNKS_PER_WRITE),
      );
    });
    const worker = startWorker(GATEWAY_SOURCE, { port, requests: REQUESTS });
    const outcome = await readMessage(worker);
    t2.strictSame(outcome, { status: 200, text: 'whole' }, `chunks of ${chunk.length} bytes`);
    await worker.terminate();
    stop();
  }
});

/** Bytes of each body; all are sent at the same time, in chunks of one byte. */
const BODY_BYTES = 300_000;

/** Serves requests as the caller server does; posts its port, then the sizes of all bodies. */
const BODY_SOURCE = `
const { parentPort, workerData } = require('node:worker_threads');
const { createServer } = require('node:http');
const { boundedHttp, modules, requests } = workerData;
const run = async () => {
  const { createReceiveLimits } = await import(boundedHttp);
  const { readBody } = await import(new URL('./requestBody.js', modules));
  const { memory, pacer } = createReceiveLimits();
  const sizes = [];
  const server = createServer(async (incoming, response) => {
    const read = await readBody(incoming, { maxBytes: 4_194_304, memory, pacer });
    sizes.push(read.type === 'body' ? read.body.length : read.type);
    response.end();
    if (sizes.length === requests) parentPort.postMessage(sizes);
  });
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
};
run();
`;

const sendBodyInSmallChunks = (port: number): Socket => {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.write('POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n');
  socket.write('1\r\nx\r\n'.repeat(BODY_BYTES));
  socket.write('0\r\n\r\n');
  return socket;
};

// Guards against a process that ends with its heap full while bodies within their limits come in small chunks.
t.test('bodies of callers in chunks of a byte are read whole', async (t2) => {
  const worker = startWorker(BODY_SOURCE, { requests: REQUESTS });
  const port = (await readMessage(worker)) as number;
  const sockets = Array.from({ length: REQUESTS }, () => sendBodyInSmallChunks(port));
  t2.strictSame(
    await readMessage(worker),
    Array.from({ length: REQUESTS }, () => BODY_BYTES),
  );
  for (const socket of sockets) socket.destroy();
  await worker.terminate();
});
