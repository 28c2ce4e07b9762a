import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import t from 'tap';
import { request } from 'undici';
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

/** Time after which the first endpoint answers a request that was not hedged, e.g. as this process was late, in ms. */
const NO_HEDGE_MS = 500;
/** Time after the hedge in which the losing send has to end; stall timeouts and time limits are longer, in ms. */
const CANCEL_LIMIT_MS = 1_000;
/** Requests that make the usual response time known; a fifth of them may be hedged. */
const WARM_UP_REQUESTS = 60;
/** Requests of which one has to be hedged. */
const MAX_TRIALS = 8;

type Respond = (response: ServerResponse, id: string) => void;

const writeHead = (response: ServerResponse, id: string, type = 'text/plain') =>
  response.writeHead(200, { [SEAL_HEADER]: '1', [REQUEST_ID_HEADER]: id, 'content-type': type });

const respondWith =
  (text: string): Respond =>
  (response, id) =>
    writeHead(response, id).end(text);

const respondWithEvents =
  (...events: readonly string[]): Respond =>
  (response, id) => {
    writeHead(response, id, 'text/event-stream');
    for (const event of events) response.write(event);
  };

const breakOff: Respond = (response) => response.socket?.resetAndDestroy();
const respondNever: Respond = () => undefined;

/** What two endpoints do with a request that reaches one of them first and perhaps the other as well. */
interface Script {
  readonly path: string;
  readonly onFirst: Respond;
  /** Called with the response of the first endpoint once the second one has the request. */
  readonly onHedged?: Respond;
  readonly onSecond: Respond;
}

const WARM_UP: Script = { path: '', onFirst: respondNever, onSecond: respondNever };

class ScriptedEndpoints {
  script = WARM_UP;

  /** Responses of the request of the last trial, by arrival. */
  responses: ServerResponse[] = [];

  /** When the last trial reached the second endpoint, and when the connections of responses were closed. */
  hedgedAtMs = 0;

  readonly closedAtMs = new Map<ServerResponse, number>();

  readonly endpoints = [new FakeEndpoint(), new FakeEndpoint()];

  constructor() {
    for (const endpoint of this.endpoints)
      endpoint.handle = (incoming, response) => this.handle(incoming, response);
  }

  stop(): void {
    for (const endpoint of this.endpoints) endpoint.stop();
  }

  private handle(incoming: IncomingMessage, response: ServerResponse): void {
    const id = String(incoming.headers[REQUEST_ID_HEADER]);
    const { script } = this;
    if (script === WARM_UP) {
      if (incoming.url?.startsWith('/stream/') === true)
        writeHead(response, id, 'text/event-stream').end('id: 1\ndata: x\n\n');
      else respondWith('whole')(response, id);
      return;
    }
    this.responses.push(response);
    this.hedgedAtMs = performance.now();
    response.once('close', () => this.closedAtMs.set(response, performance.now()));
    const [first] = this.responses;
    if (first === response) {
      script.onFirst(response, id);
      setTimeout(() => {
        if (this.responses.length === 1) response.destroy();
      }, NO_HEDGE_MS);
      return;
    }
    if (first !== undefined) script.onHedged?.(first, id);
    script.onSecond(response, id);
  }
}

const start = async (hedgingShares?: ReadonlyMap<string, number>) => {
  const scripted = new ScriptedEndpoints();
  const rows = createRows(await Promise.all(scripted.endpoints.map((one) => one.start())));
  const settings = { ...SETTINGS, hedgingShares };
  const gateway = await startGateway(settings, createDependencies(rows), '/ready');
  t.teardown(async () => {
    scripted.stop();
    await gateway.drain('test');
  });
  await waitUntilReady(gateway);
  for (let index = 0; index < WARM_UP_REQUESTS; index += 1) {
    await send(gateway, '/read/x', `warm-read-${index}`);
    await send(gateway, '/stream/x', `warm-stream-${index}`);
  }
  return { scripted, gateway };
};

const { scripted, gateway } = await start(new Map([['app', 0.2]]));

/** Sends requests until one of them reaches both endpoints, and returns its answer. */
const sendUntilHedged = async (script: Script) => {
  scripted.script = script;
  for (let trial = 0; trial < MAX_TRIALS; trial += 1) {
    scripted.responses = [];
    const answer = await send(gateway, script.path, `${script.path}-${trial}-${Math.random()}`);
    if (scripted.responses.length > 1) return answer;
  }
  throw new Error('no request was hedged');
};

/** Returns whether a response was cancelled, and not only because its time was up. */
const isCancelled = async (response: ServerResponse | undefined) => {
  if (response === undefined) return false;
  if (!response.destroyed) await once(response, 'close');
  const closedAtMs = scripted.closedAtMs.get(response) ?? Number.POSITIVE_INFINITY;
  return !response.writableFinished && closedAtMs - scripted.hedgedAtMs < CANCEL_LIMIT_MS;
};

// Guards against a call that waits for a standing endpoint, and a slot that stays taken there.
t.test('a call at a standing endpoint is answered by the second one', async (t2) => {
  const { status, text } = await sendUntilHedged({
    path: '/read/stands',
    onFirst: respondNever,
    onSecond: respondWith('hedge'),
  });
  t2.strictSame([status, text], [200, 'hedge']);
  t2.ok(await isCancelled(scripted.responses[0]), 'the first send is cancelled');
});

// Guards against bytes of two endpoints in one stream.
t.test('no byte of a stream that loses reaches the caller', async (t2) => {
  const events = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n'];
  const { text } = await sendUntilHedged({
    path: '/stream/partial',
    onFirst: respondWithEvents('id: 1\ndata: los'),
    onSecond: (response, id) => {
      respondWithEvents(...events)(response, id);
      response.end();
    },
  });
  t2.equal(text, events.join(''));
  t2.ok(await isCancelled(scripted.responses[0]));
});

// Guards against a hedge that goes on after the first endpoint has answered.
t.test('a first answer cancels the hedge that is being sent', async (t2) => {
  const { text } = await sendUntilHedged({
    path: '/read/late',
    onFirst: respondNever,
    onHedged: respondWith('first'),
    onSecond: respondNever,
  });
  t2.equal(text, 'first');
  t2.ok(await isCancelled(scripted.responses[1]), 'the hedge is cancelled');
});

// Guards against work for nobody.
t.test('both sends end when the caller leaves', async (t2) => {
  const caller = new AbortController();
  scripted.script = {
    path: '/read/leaves',
    onFirst: respondNever,
    onSecond: () => caller.abort(),
  };
  for (let trial = 0; trial < MAX_TRIALS && !caller.signal.aborted; trial += 1) {
    scripted.responses = [];
    await request(`http://127.0.0.1:${gateway.callerPort}/read/leaves`, {
      headers: { host: 'a.example', [REQUEST_ID_HEADER]: `leaves-${trial}` },
      signal: caller.signal,
    }).catch(() => undefined);
  }
  t2.equal(scripted.responses.length, 2);
  for (const response of scripted.responses) t2.ok(await isCancelled(response));
});

// Guards against a third run of a request with two attempts, and a stream that ends as if it were whole.
t.test('a stream that breaks off after its hedge won is not sent a third time', async (t2) => {
  const { text } = await sendUntilHedged({
    path: '/stream/breaks',
    onFirst: respondNever,
    onSecond: (response, id) => {
      respondWithEvents('id: 1\ndata: a\n\n')(response, id);
      setImmediate(() => response.destroy());
    },
  });
  t2.equal(text, 'cut');
  t2.equal(scripted.responses.length, 2);
});

// Guards against a refusal that promises that a request has not run after two endpoints took it.
t.test('a request that fails at both endpoints is not refused as not run', async (t2) => {
  const { status } = await sendUntilHedged({
    path: '/read/fails',
    onFirst: respondNever,
    onHedged: breakOff,
    onSecond: breakOff,
  });
  t2.equal(status, 502);
  t2.equal(scripted.responses.length, 2);
});

// Guards against extra sends in a deployment that did not ask for them.
t.test('without the setting a late call stays at its endpoint', async (t2) => {
  const other = await start();
  other.scripted.script = {
    path: '/read/off',
    onFirst: (response, id) => setTimeout(() => respondWith('first')(response, id), 100),
    onSecond: respondWith('hedge'),
  };
  for (let index = 0; index < 3; index += 1) {
    other.scripted.responses = [];
    t2.equal((await send(other.gateway, '/read/off', `off-${index}`)).text, 'first');
    t2.equal(other.scripted.responses.length, 1);
  }
});
