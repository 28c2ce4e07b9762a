import type { ServerResponse } from 'node:http';
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

const HTTP_OK = 200;
const EVENTS = 4;
/** Numbers of events in front of the spoilt piece. */
const INSERTION_POINTS = [0, 2, EVENTS];
const FRAMINGS = ['chunks', 'connection', 'length'] as const;
const STREAM_TYPES = ['text/event-stream', 'Text/Event-Stream', 'application/json', undefined];
const PIECES = ['id: \ndata: garbage\n\n', 'data: garbage\n\n', '\u0001}{ garbage\n\n'];

type Framing = (typeof FRAMINGS)[number];

const createEvents = (lastId: number): string[] =>
  Array.from({ length: EVENTS - lastId }, (_, index) => `id: ${lastId + index + 1}\ndata: a\n\n`);

const answer = (
  response: ServerResponse,
  id: string,
  events: readonly string[],
  framing: Framing,
  streamType: string | undefined,
) => {
  const body = events.join('');
  if (framing === 'connection') {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
  response.writeHead(HTTP_OK, {
    [SEAL_HEADER]: '1',
    [REQUEST_ID_HEADER]: id,
    ...(streamType === undefined ? {} : { 'content-type': streamType }),
    ...(framing === 'length' ? { 'content-length': String(body.length) } : {}),
  });
  for (const event of events) response.write(event);
  response.end();
};

const CASES = STREAM_TYPES.flatMap((streamType) =>
  INSERTION_POINTS.flatMap((insertionPoint) =>
    PIECES.map((piece) => ({ streamType, insertionPoint, piece })),
  ),
);

for (const framing of FRAMINGS) {
  // Guards against a piece that is no event and reaches the caller, as the head of its stream names another type.
  t.test(`spoilt streams with their end by ${framing}`, async (t2) => {
    // One that has spoilt a stream is left for some seconds.
    const endpoints = Array.from({ length: CASES.length + 1 }, () => new FakeEndpoint());
    const ports = await Promise.all(endpoints.map((endpoint) => endpoint.start()));
    const gateway = await startGateway(SETTINGS, createDependencies(createRows(ports)), '/ready');
    t2.teardown(async () => {
      await gateway.drain('test');
      for (const endpoint of endpoints) endpoint.stop();
    });
    await waitUntilReady(gateway);
    const seen = new Set<string>();
    for (const endpoint of endpoints) {
      endpoint.handle = (incoming, response) => {
        const id = String(incoming.headers[REQUEST_ID_HEADER]);
        const events = createEvents(Number(incoming.headers[LAST_EVENT_HEADER]));
        const spoilt = seen.has(id) ? undefined : CASES[Number(id)];
        seen.add(id);
        if (spoilt === undefined) {
          answer(response, id, events, 'chunks', 'text/event-stream');
          return;
        }
        events.splice(spoilt.insertionPoint, 0, spoilt.piece);
        answer(response, id, events, framing, spoilt.streamType);
      };
    }
    for (const [index, { streamType, insertionPoint, piece }] of CASES.entries()) {
      const { status, text } = await send(
        gateway,
        `/stream/${index}`,
        String(index),
        `prompt ${index}`,
      );
      t2.strictSame(
        { status, text },
        { status: HTTP_OK, text: createEvents(0).join('') },
        `${streamType}, ${JSON.stringify(piece)} behind ${insertionPoint} events`,
      );
    }
  });
}
