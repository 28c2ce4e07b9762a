import type { ServerResponse } from 'node:http';
import t from 'tap';
import { startGateway } from './index.js';
import {
  createDependencies,
  createRows,
  FakeEndpoint,
  REQUEST_ID_HEADER,
  SEAL_HEADER,
  send,
  SETTINGS,
  waitUntilReady,
} from './testGateway.js';

t.test('one gateway process', async (t2) => {
  const endpoints = [new FakeEndpoint(), new FakeEndpoint()];
  const ports = await Promise.all(endpoints.map((endpoint) => endpoint.start()));
  const gateway = await startGateway(SETTINGS, createDependencies(createRows(ports)), '/ready');
  await waitUntilReady(gateway);
  const reset = () => {
    for (const endpoint of endpoints) {
      endpoint.received.length = 0;
      endpoint.handle = new FakeEndpoint().handle;
    }
  };
  const countReceived = (id: string) =>
    endpoints.reduce(
      (sum, { received }) => sum + received.filter((receivedId) => receivedId === id).length,
      0,
    );
  t2.beforeEach(reset);

  await t2.test(
    'a non-idempotent request whose connection breaks is sent once and not refused as not run',
    async (t3) => {
      for (const endpoint of endpoints) endpoint.handle = (incoming) => incoming.socket.destroy();
      const { status } = await send(gateway, '/claim/x', 'c1', 'pay');
      t3.equal(status, 502);
      t3.equal(countReceived('c1'), 1);
    },
  );

  await t2.test(
    'an idempotent request is retried at another endpoint after a failure',
    async (t3) => {
      let requestCount = 0;
      const handle: FakeEndpoint['handle'] = (incoming, response) => {
        const status = requestCount === 0 ? 500 : 200;
        requestCount += 1;
        const headers = {
          [SEAL_HEADER]: '1',
          [REQUEST_ID_HEADER]: String(incoming.headers[REQUEST_ID_HEADER]),
        };
        response.writeHead(status, headers).end('whole');
      };
      for (const endpoint of endpoints) endpoint.handle = handle;
      t3.equal((await send(gateway, '/read/x', 'r1')).status, 200);
      t3.equal(countReceived('r1'), 2);
    },
  );

  await t2.test('a response with the id of another request is not forwarded', async (t3) => {
    for (const endpoint of endpoints) {
      endpoint.handle = (_incoming, response) => {
        response.writeHead(200, { [SEAL_HEADER]: '1', [REQUEST_ID_HEADER]: 'other' }).end('secret');
      };
    }
    const { status, text } = await send(gateway, '/claim/x', 'c2', 'pay');
    t3.equal(status, 502);
    t3.notMatch(text, 'secret');
  });

  await t2.test('a successful response without proof of origin is not forwarded', async (t3) => {
    for (const endpoint of endpoints) {
      endpoint.handle = (incoming, response) => {
        response
          .writeHead(200, { [REQUEST_ID_HEADER]: String(incoming.headers[REQUEST_ID_HEADER]) })
          .end('forged');
      };
    }
    t3.equal((await send(gateway, '/claim/x', 'c3', 'pay')).status, 502);
  });

  await t2.test('a request that every endpoint rejects is refused as not run', async (t3) => {
    for (const endpoint of endpoints) {
      endpoint.handle = (incoming, response) => {
        const headers = { [REQUEST_ID_HEADER]: String(incoming.headers[REQUEST_ID_HEADER]) };
        response.writeHead(503, { ...headers, 'x-not-run': '1' }).end();
      };
    }
    const { status, headers } = await send(gateway, '/claim/x', 'c4', 'pay');
    t3.equal(status, 503);
    t3.ok(headers['retry-after']);
  });

  // Guards against bytes without end from a faulty endpoint, which reached the caller until the time limit.
  for (const { name, status, headers, path, isFast } of [
    {
      name: 'rejection',
      status: 503,
      headers: { 'x-not-run': '1' },
      path: '/claim/x',
      isFast: true,
    },
    {
      name: 'slow rejection',
      status: 503,
      headers: { 'x-not-run': '1' },
      path: '/claim/x',
      isFast: false,
    },
    { name: 'failure', status: 500, headers: {}, path: '/read/x', isFast: true },
  ]) {
    await t2.test(`a ${name} whose body never ends is not forwarded`, async (t3) => {
      const writeWithoutEnd = (response: ServerResponse) => {
        if (response.destroyed) return;
        const bytes = isFast ? Buffer.alloc(65_536, 'x') : Buffer.from('x');
        response.write(bytes, () => setImmediate(() => writeWithoutEnd(response)));
      };
      let requestCount = 0;
      const handle: FakeEndpoint['handle'] = (incoming, response) => {
        requestCount += 1;
        const answerHeaders = {
          [SEAL_HEADER]: '1',
          [REQUEST_ID_HEADER]: String(incoming.headers[REQUEST_ID_HEADER]),
        };
        if (requestCount > 1) {
          response.writeHead(200, answerHeaders).end('whole');
          return;
        }
        response.writeHead(status, { ...answerHeaders, ...headers });
        writeWithoutEnd(response);
      };
      for (const endpoint of endpoints) endpoint.handle = handle;
      const body = path === '/claim/x' ? 'pay' : undefined;
      const answer = await send(gateway, path, name.replace(' ', '-'), body);
      t3.equal(answer.status, 200);
      t3.equal(answer.text, 'whole');
    });
  }

  await t2.test(
    'a broken stream is resumed at another endpoint after its last complete event',
    async (t3) => {
      const resumedFrom: string[] = [];
      for (const endpoint of endpoints) {
        endpoint.handle = (incoming, response) => {
          const last = Number(incoming.headers['last-event-id']);
          resumedFrom.push(String(last));
          const headers = {
            [SEAL_HEADER]: '1',
            [REQUEST_ID_HEADER]: String(incoming.headers[REQUEST_ID_HEADER]),
          };
          response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
          if (last === 0) {
            response.write('id: 1\ndata: a\n\nid: 2\nda', () => {
              setImmediate(() => incoming.socket.resetAndDestroy());
            });
          } else response.end('id: 2\ndata: b\n\nid: 3\ndata: c\n\n');
        };
      }
      const { status, text } = await send(gateway, '/stream/x', 's1', 'prompt');
      t3.equal(status, 200);
      t3.equal(text, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n');
      t3.strictSame(resumedFrom, ['0', '1']);
    },
  );

  await t2.test(
    'oversized bodies, oversized headers and unknown paths have distinct status codes',
    async (t3) => {
      t3.equal((await send(gateway, '/claim/x', 'b1', 'x'.repeat(101))).status, 413);
      t3.equal((await send(gateway, `/read/x`, 'h'.repeat(5_000))).status, 431);
      t3.equal((await send(gateway, '/unknown/x', 'u1')).status, 404);
    },
  );

  const draining = gateway.drain('test');
  await t2.test('a request during the drain period gets a complete response', async (t3) => {
    const { status, text, headers } = await send(gateway, '/read/x', 'd1');
    t3.equal(status, 200);
    t3.equal(text, 'whole');
    t3.equal(headers.connection, 'close');
  });
  await draining;
  for (const endpoint of endpoints) endpoint.stop();
});
