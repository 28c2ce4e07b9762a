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

const EVENT = 'id: 1\ndata: a\n\n';
/** Longer than the stall limit and shorter than two of them. */
const ANSWER_DELAY_MS = 1_700;

const answerLate: FakeEndpoint['handle'] = (incoming, response) => {
  const timer = setTimeout(() => {
    response.writeHead(200, {
      [SEAL_HEADER]: '1',
      [REQUEST_ID_HEADER]: String(incoming.headers[REQUEST_ID_HEADER]),
      'content-type': 'text/event-stream',
    });
    response.end(EVENT);
  }, ANSWER_DELAY_MS);
  response.once('close', () => clearTimeout(timer));
};

/** Lists the streams that an endpoint received, without the calls that check readiness. */
const listStreams = ({ received }: FakeEndpoint): string[] => received.filter((id) => id === 's1');

const serveOne = async (endpoints: readonly FakeEndpoint[]): Promise<string> => {
  const ports = await Promise.all(endpoints.map((endpoint) => endpoint.start()));
  const gateway = await startGateway(SETTINGS, createDependencies(createRows(ports)), '/ready');
  await waitUntilReady(gateway);
  for (const endpoint of endpoints) endpoint.handle = answerLate;
  const { text } = await send(gateway, '/stream/x', 's1', 'prompt');
  await gateway.drain('test');
  for (const endpoint of endpoints) endpoint.stop();
  return text;
};

// Guards against a request that fails with seconds of its time left because no second endpoint exists.
t.test('a request without an alternative waits for its first event', async (t2) => {
  const endpoint = new FakeEndpoint();
  t2.equal(await serveOne([endpoint]), EVENT);
  t2.strictSame(listStreams(endpoint), ['s1']);
});

// Guards against a request that is withdrawn from two endpoints in turn, just before each would answer.
t.test('a request is withdrawn from a silent endpoint once', async (t2) => {
  const endpoints = [new FakeEndpoint(), new FakeEndpoint()];
  t2.equal(await serveOne(endpoints), EVENT);
  t2.strictSame(endpoints.map(listStreams), [['s1'], ['s1']]);
});
