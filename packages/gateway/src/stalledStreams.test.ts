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

const EVENT_1 = 'id: 1\ndata: a\n\n';
const EVENT_2 = 'id: 2\ndata: b\n\n';
const EVENT_3 = 'id: 3\ndata: c\n\n';
const TRICKLE_INTERVAL_MS = 100;
const SLOW_INTERVAL_MS = 700;
const SILENCE_MS = 1_500;

const createHead = (id: string) => ({
  [SEAL_HEADER]: '1',
  [REQUEST_ID_HEADER]: id,
  'content-type': 'text/event-stream',
});

t.test('slow streams and stalled ones', async (t2) => {
  const endpoints = [new FakeEndpoint(), new FakeEndpoint()];
  const ports = await Promise.all(endpoints.map((endpoint) => endpoint.start()));
  const gateway = await startGateway(SETTINGS, createDependencies(createRows(ports)), '/ready');
  await waitUntilReady(gateway);
  const resumedFrom: string[] = [];
  const handleAll = (handle: FakeEndpoint['handle']) => {
    for (const endpoint of endpoints) endpoint.handle = handle;
  };

  // Guards against a stalled stream that a byte now and then keeps open until its time limit.
  await t2.test('a stream that sends a byte now and then is resumed elsewhere', async (t3) => {
    handleAll((incoming, response) => {
      const lastId = String(incoming.headers['last-event-id']);
      resumedFrom.push(lastId);
      response.writeHead(200, createHead(String(incoming.headers[REQUEST_ID_HEADER])));
      if (lastId !== '0') {
        response.end(EVENT_2);
        return;
      }
      response.write(`${EVENT_1}id: 2\ndata: `);
      const trickle = setInterval(() => response.write('x'), TRICKLE_INTERVAL_MS);
      response.once('close', () => clearInterval(trickle));
    });
    const { text } = await send(gateway, '/stream/x', 's1', 'prompt');
    t3.equal(text, `${EVENT_1}${EVENT_2}`);
    t3.strictSame(resumedFrom, ['0', '1']);
  });

  // Guards against a response that a byte now and then keeps open until its time limit.
  await t2.test('a body that comes a byte now and then is requested elsewhere', async (t3) => {
    let attempts = 0;
    handleAll((incoming, response) => {
      attempts += 1;
      response.writeHead(200, {
        [SEAL_HEADER]: '1',
        [REQUEST_ID_HEADER]: String(incoming.headers[REQUEST_ID_HEADER]),
      });
      if (attempts > 1) {
        response.end('whole');
        return;
      }
      const trickle = setInterval(() => response.write('x'), TRICKLE_INTERVAL_MS);
      response.once('close', () => clearInterval(trickle));
    });
    const { text } = await send(gateway, '/quick/x', 'q1');
    t3.equal(text, 'whole');
    t3.equal(attempts, 2);
  });

  // Guards against a slow but sound stream that is cut.
  await t2.test('a slow stream that makes progress is not cut', async (t3) => {
    let attempts = 0;
    handleAll((incoming, response) => {
      attempts += 1;
      response.writeHead(200, createHead(String(incoming.headers[REQUEST_ID_HEADER])));
      const events = [EVENT_1, EVENT_2, EVENT_3];
      const sendNext = () => {
        response.write(events.shift());
        if (events.length > 0) setTimeout(sendNext, SLOW_INTERVAL_MS);
        else response.end();
      };
      sendNext();
    });
    const { text } = await send(gateway, '/stream/x', 's2', 'prompt');
    t3.equal(text, `${EVENT_1}${EVENT_2}${EVENT_3}`);
    t3.equal(attempts, 1);
  });

  // Guards against a stream that is cut at its second endpoint because it may be sent to no third one.
  await t2.test('a stream waits for the last endpoint that it may be sent to', async (t3) => {
    handleAll((incoming, response) => {
      const lastId = String(incoming.headers['last-event-id']);
      response.writeHead(200, createHead(String(incoming.headers[REQUEST_ID_HEADER])));
      if (lastId === '0') {
        response.write(EVENT_1);
        return;
      }
      response.write(EVENT_2);
      setTimeout(() => response.end(EVENT_3), SILENCE_MS);
    });
    const { text } = await send(gateway, '/stream/x', 's3', 'prompt');
    t3.equal(text, `${EVENT_1}${EVENT_2}${EVENT_3}`);
  });

  // Guards against a stream that is cut because it left a silent endpoint for one that rejects it.
  await t2.test('a stream returns to a silent endpoint if the other one rejects it', async (t3) => {
    let attempts = 0;
    handleAll((incoming, response) => {
      attempts += 1;
      const id = String(incoming.headers[REQUEST_ID_HEADER]);
      if (attempts === 2) {
        response.writeHead(503, { [REQUEST_ID_HEADER]: id, 'x-not-run': '1' }).end();
        return;
      }
      response.writeHead(200, createHead(id));
      if (attempts === 1) response.write(EVENT_1);
      else response.end(EVENT_2);
    });
    const { text } = await send(gateway, '/stream/x', 's4', 'prompt');
    t3.equal(text, `${EVENT_1}${EVENT_2}`);
    t3.equal(attempts, 3);
  });

  await gateway.drain('test');
  for (const endpoint of endpoints) endpoint.stop();
});
