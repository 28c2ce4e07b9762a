import t, { type Test } from 'tap';
import { type Gateway, startGateway } from './index.js';
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

const EVENTS = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'id: 3\ndata: c\n\n'] as const;
const UNNUMBERED = 'event: notice\ndata: n\n\n';
const COMMENT = ': still there\n\n';

interface Case {
  readonly name: string;
  /** Sent before the connection is reset; the next endpoint goes on behind the last event. */
  readonly sent: string;
  readonly received: string;
}

const WHOLE = EVENTS.join('');
const CASES: readonly Case[] = [
  { name: 'behind an event without an id', sent: `${EVENTS[0]}${UNNUMBERED}`, received: WHOLE },
  { name: 'without any id', sent: UNNUMBERED, received: WHOLE },
  { name: 'behind an id that is no number', sent: 'id: a\ndata: a\n\n', received: WHOLE },
  {
    name: 'behind an event with an id that follows one without',
    sent: `${UNNUMBERED}${EVENTS[0]}`,
    received: WHOLE,
  },
  {
    name: 'behind a comment',
    sent: `${EVENTS[0]}${COMMENT}`,
    received: `${EVENTS[0]}${COMMENT}${EVENTS[1]}${EVENTS[2]}`,
  },
];

/** Starts a gateway and two endpoints, of which the first one that gets a stream breaks it off. */
const startWorld = async (test: Test, sent: string): Promise<Gateway> => {
  const endpoints = [new FakeEndpoint(), new FakeEndpoint()];
  test.teardown(() => {
    for (const endpoint of endpoints) endpoint.stop();
  });
  const ports = await Promise.all(endpoints.map((endpoint) => endpoint.start()));
  const gateway = await startGateway(SETTINGS, createDependencies(createRows(ports)), '/ready');
  test.teardown(async () => gateway.drain('test'));
  const begun = new Set<string>(['ready']);
  for (const endpoint of endpoints) {
    endpoint.handle = (incoming, response) => {
      const id = String(incoming.headers[REQUEST_ID_HEADER]);
      response.writeHead(200, {
        [SEAL_HEADER]: '1',
        [REQUEST_ID_HEADER]: id,
        'content-type': id === 'ready' ? 'text/plain' : 'text/event-stream',
      });
      if (begun.has(id)) {
        response.end(EVENTS.slice(Number(incoming.headers[LAST_EVENT_HEADER])).join(''));
        return;
      }
      begun.add(id);
      response.write(sent, () => {
        setImmediate(() => incoming.socket.resetAndDestroy());
      });
    };
  }
  await waitUntilReady(gateway);
  return gateway;
};

// Guards against events that no endpoint made as a part of the stream, or that callers get twice.
for (const { name, sent, received } of CASES) {
  t.test(`a stream that breaks off ${name}`, async (t2) => {
    const gateway = await startWorld(t2, sent);
    const { text } = await send(gateway, '/stream/x', 'request', 'prompt', undefined, {
      [LAST_EVENT_HEADER]: '0',
    });
    t2.equal(text, received);
  });
}
