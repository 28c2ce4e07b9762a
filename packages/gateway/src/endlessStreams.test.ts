import { once } from 'node:events';
import { createServer, type Socket } from 'node:net';
import t from 'tap';
import { startGateway } from './index.js';
import {
  createDependencies,
  createRows,
  REQUEST_ID_HEADER,
  SEAL_HEADER,
  send,
  SETTINGS,
  waitUntilReady,
} from './testGateway.js';

const CHUNKS_PER_WRITE = 4_096;
const SOUND_REQUESTS = 20;

const createChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Starts an endpoint that answers streams with a chunk, mostly without end, and other requests as it should. */
const startEndpoint = async (chunk: string, isEndless = true) => {
  const sockets = new Set<Socket>();
  let endlessStreams = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      const text = bytes.toString('latin1');
      const id = new RegExp(`^${REQUEST_ID_HEADER}: (.*)$`, 'im').exec(text)?.[1]?.trim() ?? '';
      const head = `HTTP/1.1 200 OK\r\n${SEAL_HEADER}: 1\r\n${REQUEST_ID_HEADER}: ${id}\r\n`;
      if (!id.startsWith('endless')) {
        socket.write(`${head}content-length: 5\r\n\r\nwhole`);
        return;
      }
      endlessStreams += 1;
      const written = Buffer.from(createChunk(chunk).repeat(CHUNKS_PER_WRITE));
      const write = () => {
        while (!socket.destroyed && socket.write(written));
      };
      socket.on('drain', write);
      socket.write(`${head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`);
      if (isEndless) write();
      else socket.write(`${createChunk(chunk)}0\r\n\r\n`);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  const port = typeof address === 'object' && address !== null ? address.port : 0;
  const stop = () => {
    for (const socket of sockets) socket.destroy();
    server.close();
  };
  return { port, stop, getEndlessStreams: () => endlessStreams };
};

// Guards against a process that answers nothing for seconds while an endpoint streams bytes without end.
for (const chunk of ['x', 'xxx', '\n']) {
  t.test(`streams in chunks of ${JSON.stringify(chunk)} let others be answered`, async (t2) => {
    const { port, stop } = await startEndpoint(chunk);
    const gateway = await startGateway(SETTINGS, createDependencies(createRows([port])), '/ready');
    await waitUntilReady(gateway);
    let endedStreams = 0;
    const endless = Array.from({ length: 3 }, async (_, index) => {
      await send(gateway, '/generate/x', `endless-${index}`, 'prompt');
      endedStreams += 1;
    });
    for (let request = 0; request < SOUND_REQUESTS; request++) {
      const { text } = await send(gateway, '/read/x', `sound-${request}`);
      t2.equal(text, 'whole');
    }
    t2.equal(endedStreams, 0, 'the sound requests are answered first');
    await Promise.all(endless);
    await gateway.drain('test');
    stop();
  });
}

// Guards against an endpoint that gets each next request although it answers with bytes that are no response.
t.test('an endpoint that streams without end gets few of the next requests', async (t2) => {
  const trouble = await startEndpoint('x'.repeat(4_096));
  const other = await startEndpoint('id: 1\ndata: a\n\n', false);
  const ports = [trouble.port, other.port];
  const gateway = await startGateway(SETTINGS, createDependencies(createRows(ports)), '/ready');
  await waitUntilReady(gateway);
  const requests = 30;
  for (let request = 0; request < requests; request++)
    await send(gateway, '/generate/x', `endless-${request}`, 'prompt');
  const reached = trouble.getEndlessStreams();
  t2.ok(reached > 0 && reached <= requests / 3, `${reached} of ${requests}`);
  await gateway.drain('test');
  trouble.stop();
  other.stop();
});
