import {
  applyFaults,
  getError,
  getStandinFile,
  getValue,
  readControl,
  startProcess,
} from '@lovagearch/standins';
import { createServer as createTcpServer, type AddressInfo } from 'node:net';
import t from 'tap';
import { HttpServiceClient } from './httpServiceClient.js';
import type { ServiceRequest } from './types.js';

const claim: ServiceRequest = {
  method: 'POST',
  path: '/claims',
  headers: { 'Idempotency-Key': 'k1', 'x-account': 'a', connection: 'upgrade' },
  body: Buffer.from('{"amount":1}'),
  timeoutMs: 60_000,
  freshConnection: true,
};

const service = await startProcess(getStandinFile('service'), { id: 'ledger-1' });
const client = HttpServiceClient.create({ maxResponseBytes: 4_096 });
t.teardown(async () => {
  await client.close();
  service.kill();
  await service.waitForExit();
});

/** Starts a TCP server that answers every connection with fixed bytes. */
const startRawServer = async (
  answer: string,
): Promise<{ readonly url: string; readonly close: () => void }> => {
  const server = createTcpServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(answer));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return { url: `http://127.0.0.1:${port}`, close: () => server.close() };
};

t.test('a call is run once and answered as a whole', async (t2) => {
  const answer = getValue(await client.send(service.url(), claim));
  t2.equal(answer.status, 200);
  t2.match(JSON.parse(Buffer.from(answer.body).toString()), { path: '/claims', count: 1 });
  t2.match(await readControl(service, '/control/runs'), [
    { idempotencyKey: 'k1', path: '/claims', count: 1 },
  ]);
  t2.equal(getValue(await client.readHealth(service.url())).state, 'ready');
});

t.test('a call that ran without an answer is neither repeated nor called not run', async (t2) => {
  await applyFaults(service, { dropAfterRun: true });
  const request = { ...claim, headers: { 'idempotency-key': 'k2' } };
  const error = getError(await client.send(service.url(), request));
  t2.equal(error.type, 'connection_lost');
  t2.match(await readControl(service, '/control/runs'), [{}, { idempotencyKey: 'k2', count: 1 }]);
  await applyFaults(service, {});
});

t.test('a refused connection and a malformed call are known as not sent', async (t2) => {
  const refused = await client.send('http://127.0.0.1:1', claim);
  t2.equal(getError(refused).type, 'not_connected');
  for (const freshConnection of [true, false]) {
    const noUrl = await client.send('no url', { ...claim, freshConnection });
    t2.equal(getError(noUrl).type, 'not_connected');
  }
  const malformed = await client.send(service.url(), { ...claim, headers: { 'x-a': 'b\r\nc' } });
  t2.equal(getError(malformed).type, 'not_connected');
});

t.test('a cut answer is not passed on as a whole one', async (t2) => {
  const cutAnswers = [
    'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf',
    'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n',
    'HTTP/1.1 200 OK\r\n\r\nhalf',
    'not http',
    '',
  ];
  for (const cutAnswer of cutAnswers) {
    const server = await startRawServer(cutAnswer);
    const result = await client.send(server.url, claim);
    t2.equal(getError(result).type, 'connection_lost', cutAnswer);
    server.close();
  }
});

t.test('an answer beyond the bound does not fill the memory', async (t2) => {
  const server = await startRawServer(
    `HTTP/1.1 200 OK\r\ncontent-length: 9999\r\n\r\n${'x'.repeat(9_999)}`,
  );
  const error = getError(await client.send(server.url, claim));
  t2.same(error, { type: 'response_too_large', limitBytes: 4_096 });
  server.close();
});

t.test('a call that takes too long is a timeout, whose outcome is unknown', async (t2) => {
  const slow = await startProcess(getStandinFile('service'), {});
  await applyFaults(slow, { delayMs: 60_000 });
  const error = getError(await client.send(slow.url(), { ...claim, timeoutMs: 100 }));
  t2.same(error, { type: 'timeout', timeoutMs: 100 });
  slow.kill('SIGKILL');
  t2.equal((await slow.waitForExit()).signal, 'SIGKILL');
});

t.test('a kept connection that the service closed is lost, not refused', async (t2) => {
  let received = 0;
  const server = createTcpServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      received += 1;
    });
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
      // A second call on the same connection finds it closed as soon as its bytes arrive.
      socket.once('data', () => socket.destroy());
    });
  });
  t2.teardown(() => server.close());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const read: ServiceRequest = { ...claim, method: 'GET', body: undefined, freshConnection: false };
  const types: string[] = [];
  // The client may open more connections before it uses one again.
  while (!types.includes('connection_lost') && types.length < 100) {
    const result = await client.send(url, read);
    types.push(result.isOk() ? 'ok' : result.error.type);
  }
  t2.equal(types.at(-1), 'connection_lost');
  t2.equal(received, types.length, 'no call was repeated');
});
