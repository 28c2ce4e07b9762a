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

const claimRequest: ServiceRequest = {
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

/** Starts a TCP server that sends fixed bytes on every connection. */
const startRawServer = async (
  response: string,
): Promise<{ readonly url: string; readonly close: () => void }> => {
  const server = createTcpServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(response));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return { url: `http://127.0.0.1:${port}`, close: () => server.close() };
};

t.test('a request runs once and its complete response is returned', async (t2) => {
  const response = getValue(await client.send(service.url(), claimRequest));
  t2.equal(response.status, 200);
  t2.match(JSON.parse(Buffer.from(response.body).toString()), { path: '/claims', count: 1 });
  t2.match(await readControl(service, '/control/runs'), [
    { idempotencyKey: 'k1', path: '/claims', count: 1 },
  ]);
  t2.equal(getValue(await client.readHealth(service.url())).state, 'ready');
});

t.test('a request that ran without a response is reported as lost and not retried', async (t2) => {
  await applyFaults(service, { dropAfterRun: true });
  const request = { ...claimRequest, headers: { 'idempotency-key': 'k2' } };
  const error = getError(await client.send(service.url(), request));
  t2.equal(error.type, 'connection_lost');
  t2.match(await readControl(service, '/control/runs'), [{}, { idempotencyKey: 'k2', count: 1 }]);
  await applyFaults(service, {});
});

t.test('a refused connection and a malformed request are reported as not sent', async (t2) => {
  const refused = await client.send('http://127.0.0.1:1', claimRequest);
  t2.equal(getError(refused).type, 'not_connected');
  for (const freshConnection of [true, false]) {
    const invalidUrl = await client.send('no url', { ...claimRequest, freshConnection });
    t2.equal(getError(invalidUrl).type, 'not_connected');
  }
  const malformed = await client.send(service.url(), {
    ...claimRequest,
    headers: { 'x-a': 'b\r\nc' },
  });
  t2.equal(getError(malformed).type, 'not_connected');
});

t.test('a truncated response is reported as a lost connection', async (t2) => {
  const truncatedResponses = [
    'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf',
    'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n',
    'HTTP/1.1 200 OK\r\n\r\nhalf',
    'HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nhalf',
    'HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nhalf',
    'not http',
    '',
  ];
  for (const truncatedResponse of truncatedResponses) {
    const server = await startRawServer(truncatedResponse);
    const result = await client.send(server.url, claimRequest);
    t2.equal(getError(result).type, 'connection_lost', truncatedResponse);
    server.close();
  }
});

t.test('a response over the size limit is rejected', async (t2) => {
  const server = await startRawServer(
    `HTTP/1.1 200 OK\r\ncontent-length: 9999\r\n\r\n${'x'.repeat(9_999)}`,
  );
  const error = getError(await client.send(server.url, claimRequest));
  t2.same(error, { type: 'response_too_large', limitBytes: 4_096 });
  server.close();
});

t.test('a request that takes too long is reported as a timeout', async (t2) => {
  const slow = await startProcess(getStandinFile('service'), {});
  await applyFaults(slow, { delayMs: 60_000 });
  const error = getError(await client.send(slow.url(), { ...claimRequest, timeoutMs: 100 }));
  t2.same(error, { type: 'timeout', timeoutMs: 100 });
  slow.kill('SIGKILL');
  t2.equal((await slow.waitForExit()).signal, 'SIGKILL');
});

t.test(
  'a request on a pooled connection that the service closes is lost and not retried',
  async (t2) => {
    let received = 0;
    const server = createTcpServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', () => {
        received += 1;
      });
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
        // Closes the connection when the second request arrives on it.
        socket.once('data', () => socket.destroy());
      });
    });
    t2.teardown(() => server.close());
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    const read: ServiceRequest = {
      ...claimRequest,
      method: 'GET',
      body: undefined,
      freshConnection: false,
    };
    const types: string[] = [];
    // The client may open several connections before it reuses one.
    while (!types.includes('connection_lost') && types.length < 100) {
      const result = await client.send(url, read);
      types.push(result.isOk() ? 'ok' : result.error.type);
    }
    t2.equal(types.at(-1), 'connection_lost');
    t2.equal(received, types.length, 'no request was retried');
  },
);
