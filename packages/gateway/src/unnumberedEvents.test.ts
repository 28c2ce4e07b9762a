import t from 'tap';
import { startGateway } from './index.js';
import {
  createDependencies,
  createRows,
  FakeEndpoint,
  LAST_EVENT_HEADER,
  REQUEST_ID_HEADER,
  SEAL_HEADER,
  send,
  SETTINGS,
  waitUntilReady,
} from './testGateway.js';

const EVENT_1 = 'id: 1\ndata: a\n\n';
const EVENT_2 = 'id: 2\ndata: b\n\n';
const UNNUMBERED = 'event: notice\ndata: n\n\n';
const COMMENT = ': still there\n\n';

interface Case {
  readonly name: string;
  /** Sent before the connection is reset. */
  readonly sent: string;
  /** Sent by each endpoint that gets the request with the id of the last event. */
  readonly rest: string;
  /** What the caller gets; `cut` if the response is incomplete. */
  readonly received: string;
}

const CASES: readonly Case[] = [
  {
    name: 'behind an event without an id',
    sent: `${EVENT_1}${UNNUMBERED}`,
    rest: `${UNNUMBERED}${EVENT_2}`,
    received: 'cut',
  },
  {
    name: 'without any id',
    sent: UNNUMBERED,
    rest: `${UNNUMBERED}${UNNUMBERED}`,
    received: 'cut',
  },
  {
    name: 'behind an id that is no number',
    sent: 'id: a\ndata: a\n\n',
    rest: 'id: a\ndata: a\n\nid: b\ndata: b\n\n',
    received: 'cut',
  },
  {
    name: 'behind an event with an id that follows one without',
    sent: `${UNNUMBERED}${EVENT_1}`,
    rest: EVENT_2,
    received: `${UNNUMBERED}${EVENT_1}${EVENT_2}`,
  },
  {
    name: 'behind a comment',
    sent: `${EVENT_1}${COMMENT}`,
    rest: EVENT_2,
    received: `${EVENT_1}${COMMENT}${EVENT_2}`,
  },
];

// Guards against events that callers get twice: the next endpoint sends again what follows the last id.
t.test('a stream that breaks off', async (t2) => {
  const state: { current: Case | undefined } = { current: undefined };
  const endpoints = [new FakeEndpoint(), new FakeEndpoint()];
  t2.teardown(() => {
    for (const endpoint of endpoints) endpoint.stop();
  });
  const ports = await Promise.all(endpoints.map((endpoint) => endpoint.start()));
  const gateway = await startGateway(SETTINGS, createDependencies(createRows(ports)), '/ready');
  t2.teardown(async () => gateway.drain('test'));
  await waitUntilReady(gateway);
  const begun = new Set<string>();
  for (const endpoint of endpoints) {
    endpoint.handle = (incoming, response) => {
      const id = String(incoming.headers[REQUEST_ID_HEADER]);
      response.writeHead(200, {
        [SEAL_HEADER]: '1',
        [REQUEST_ID_HEADER]: id,
        'content-type': 'text/event-stream',
      });
      if (begun.has(id)) {
        response.end(state.current?.rest);
        return;
      }
      begun.add(id);
      response.write(state.current?.sent, () => {
        setImmediate(() => incoming.socket.resetAndDestroy());
      });
    };
  }
  for (const [index, item] of CASES.entries()) {
    await t2.test(item.name, async (t3) => {
      state.current = item;
      const { text } = await send(gateway, '/stream/x', `n${index}`, 'prompt', undefined, {
        [LAST_EVENT_HEADER]: '0',
      });
      t3.equal(text, item.received);
    });
  }
});
