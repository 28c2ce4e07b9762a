import { connect } from 'node:net';
import t from 'tap';
import { startGateway } from './index.js';
import {
  createDependencies,
  createRows,
  FakeEndpoint,
  REQUEST_ID_HEADER,
  SEAL_HEADER,
  SETTINGS,
  waitUntilReady,
} from './testGateway.js';

const EVENT_1 = 'id: 1\ndata: a\n\n';
const EVENT_2 = 'id: 2\ndata: b\n\n';

/** Sends a request of HTTP/1.0, whose response ends with the connection; returns how that ends. */
const sendOld = (port: number, path: string, id: string): Promise<'end' | 'reset'> =>
  new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1', () => {
      const lines = [`POST ${path} HTTP/1.0`, 'Host: a.example', `${REQUEST_ID_HEADER}: ${id}`];
      socket.write(`${lines.join('\r\n')}\r\nContent-Length: 0\r\n\r\n`);
    });
    socket.resume();
    // libuv reports a reset that arrives together with data as an end; only then there is no remote port.
    socket.once('end', () => resolve(socket.remotePort === undefined ? 'reset' : 'end'));
    socket.once('error', () => resolve('reset'));
  });

// Guards against a stream that looks complete to callers to whom the end of the connection is that of the response.
t.test('callers of HTTP/1.0', async (t2) => {
  const endpoint = new FakeEndpoint();
  t2.teardown(() => endpoint.stop());
  const port = await endpoint.start();
  const gateway = await startGateway(SETTINGS, createDependencies(createRows([port])), '/ready');
  t2.teardown(async () => gateway.drain('test'));
  await waitUntilReady(gateway);
  endpoint.handle = (incoming, response) => {
    const id = String(incoming.headers[REQUEST_ID_HEADER]);
    response.writeHead(200, {
      [SEAL_HEADER]: '1',
      [REQUEST_ID_HEADER]: id,
      'content-type': 'text/event-stream',
    });
    response.write(EVENT_1, () => {
      setImmediate(() => {
        if (id === 'broken') incoming.socket.resetAndDestroy();
        else response.end(EVENT_2);
      });
    });
  };
  await t2.test('get an end behind a whole stream', async (t3) => {
    t3.equal(await sendOld(gateway.callerPort, '/generate/x', 'whole'), 'end');
  });
  await t2.test('get a reset if the stream is broken off', async (t3) => {
    t3.equal(await sendOld(gateway.callerPort, '/generate/x', 'broken'), 'reset');
  });
});
