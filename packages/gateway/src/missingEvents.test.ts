import t, { type Test } from 'tap';
import { MAX_GAPS_IN_A_ROW } from '@lovagearch/exchange';
import { startGateway, type Gateway } from './index.js';
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

/** Streams by which the gateway learns how a service numbers its events. */
const LEARNED_STREAMS = 20;

const createEvents = (ids: readonly number[]): string =>
  ids.map((id) => `id: ${id}\ndata: ${id}\n\n`).join('');

const sendAt = async (gateway: Gateway, path: string, id: string, lastEventId: number) =>
  send(gateway, path, id, 'prompt', undefined, { [LAST_EVENT_HEADER]: String(lastEventId) });

/** Starts a gateway and two endpoints; `answer` returns the ids of the events of a response. */
const startWorld = async (
  test: Test,
  answer: (lastEventId: number, requestId: string, attempt: number) => readonly number[],
): Promise<Gateway> => {
  const endpoints = [new FakeEndpoint(), new FakeEndpoint()];
  test.teardown(() => {
    for (const endpoint of endpoints) endpoint.stop();
  });
  const attempts = new Map<string, number>();
  for (const endpoint of endpoints) {
    endpoint.handle = (incoming, response) => {
      const id = String(incoming.headers[REQUEST_ID_HEADER]);
      const attempt = attempts.get(id) ?? 0;
      attempts.set(id, attempt + 1);
      const isStream = incoming.headers[LAST_EVENT_HEADER] !== undefined && id !== 'ready';
      response.writeHead(200, {
        [SEAL_HEADER]: '1',
        [REQUEST_ID_HEADER]: id,
        'content-type': isStream ? 'text/event-stream' : 'text/plain',
      });
      const lastEventId = Number(incoming.headers[LAST_EVENT_HEADER]);
      response.end(createEvents(answer(lastEventId, id, attempt)));
    };
  }
  const ports = await Promise.all(endpoints.map((endpoint) => endpoint.start()));
  const gateway = await startGateway(SETTINGS, createDependencies(createRows(ports)), '/ready');
  test.teardown(async () => gateway.drain('test'));
  await waitUntilReady(gateway);
  return gateway;
};

// Guards against a stream without its first events, which its caller can't tell from a whole one.
t.test('an endpoint of a service whose ids rise by one leaves out the first event', async (t2) => {
  const WHOLE = [1, 2, 3, 4, 5, 6];
  const gateway = await startWorld(t2, (lastEventId, requestId, attempt) => {
    const rest = WHOLE.filter((id) => id > lastEventId);
    return requestId.startsWith('gap') && attempt === 0 ? rest.slice(1) : rest;
  });
  for (let index = 0; index < LEARNED_STREAMS; index++)
    t2.equal((await sendAt(gateway, '/stream/x', `s${index}`, 0)).text, createEvents(WHOLE));

  await t2.test('behind the caller’s last id: the request is sent elsewhere', async (t3) => {
    const { text } = await sendAt(gateway, '/stream/x', 'gap-resumed', 3);
    t3.equal(text, createEvents([4, 5, 6]));
  });
  await t2.test('of a new stream: the request is sent elsewhere', async (t3) => {
    const { text } = await sendAt(gateway, '/stream/x', 'gap-new', 0);
    t3.equal(text, createEvents(WHOLE));
  });
  await t2.test('of a stream that can not be resumed: the request fails', async (t3) => {
    t3.equal((await sendAt(gateway, '/generate/x', 'gap-generated', 0)).status, 502);
  });
});

// Guards against streams that fail because their service numbers its events unevenly.
t.test('streams of a service whose ids rise unevenly are passed on', async (t2) => {
  const WHOLE = [3, 4, 9, 12, 13];
  const gateway = await startWorld(t2, (lastEventId) => WHOLE.filter((id) => id > lastEventId));
  for (let index = 0; index < LEARNED_STREAMS; index++) {
    t2.equal((await sendAt(gateway, '/stream/x', `n${index}`, 0)).text, createEvents(WHOLE));
    t2.equal((await sendAt(gateway, '/stream/x', `r${index}`, 4)).text, createEvents([9, 12, 13]));
    t2.equal((await sendAt(gateway, '/stream/x', `e${index}`, 9)).text, createEvents([12, 13]));
  }
});

// Guards against a service that fails for good after it has changed how it numbers its events.
t.test(
  'streams are passed on after their service has begun to number events unevenly',
  async (t2) => {
    let whole: readonly number[] = [1, 2, 3];
    const gateway = await startWorld(t2, (lastEventId) => whole.filter((id) => id > lastEventId));
    for (let index = 0; index < LEARNED_STREAMS; index++)
      t2.equal((await sendAt(gateway, '/stream/x', `s${index}`, 0)).text, createEvents(whole));
    whole = [10, 20, 30];
    const texts: string[] = [];
    for (let index = 0; index < LEARNED_STREAMS; index++)
      texts.push((await sendAt(gateway, '/stream/x', `c${index}`, 0)).text);
    const passedOn = texts.filter((text) => text === createEvents(whole));
    t2.ok(passedOn.length >= LEARNED_STREAMS - MAX_GAPS_IN_A_ROW, `${passedOn.length}`);
  },
);
