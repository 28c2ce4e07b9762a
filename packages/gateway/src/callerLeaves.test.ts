import { spawnSync } from 'node:child_process';
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { connect, type Socket } from 'node:net';
import { setImmediate as nextLoopTurn, setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { STREAM_STALL_TIMEOUT_MS } from './constants.js';
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

/** Time after a caller's close in which the work at endpoints has to end, in milliseconds. */
const END_OF_WORK_LIMIT_MS = 500;
/** Time in which a request that is sent to another endpoint arrives there, in milliseconds. */
const RETRY_PERIOD_MS = 50;
const EVENT_BYTES = 60_000;

type Handle = (incoming: IncomingMessage, response: ServerResponse) => void;

const createRequestText = (method: string, path: string, id: string, body = ''): string =>
  [
    `${method} ${path} HTTP/1.1`,
    'host: a.example',
    `${REQUEST_ID_HEADER}: ${id}`,
    `content-length: ${body.length}`,
    '',
    body,
  ].join('\r\n');

/** Endpoints that count the requests at work by id. */
class WorkingEndpoints {
  private readonly endpoints = [new FakeEndpoint(), new FakeEndpoint()];

  private readonly runningById = new Map<string, number>();

  static create(): WorkingEndpoints {
    return new WorkingEndpoints();
  }

  async start(): Promise<number[]> {
    return Promise.all(this.endpoints.map((endpoint) => endpoint.start()));
  }

  stop(): void {
    for (const endpoint of this.endpoints) endpoint.stop();
  }

  /** Sets what all endpoints do with requests. */
  setHandler(handle: Handle): void {
    for (const endpoint of this.endpoints) {
      endpoint.handle = (incoming, response) => {
        const id = String(incoming.headers[REQUEST_ID_HEADER]);
        this.runningById.set(id, this.countRunning(id) + 1);
        response.once('close', () => this.runningById.set(id, this.countRunning(id) - 1));
        handle(incoming, response);
      };
    }
  }

  countRunning(id: string): number {
    return this.runningById.get(id) ?? 0;
  }

  countReceived(id: string): number {
    return this.endpoints.flatMap(({ received }) => received).filter((other) => other === id)
      .length;
  }

  async waitUntilRunning(id: string): Promise<void> {
    while (this.countRunning(id) === 0) await sleep(1);
  }

  /** Returns whether the work on the request ends, and stays ended, before the time limit from the call on. */
  async endsInTime(id: string): Promise<boolean> {
    const startMs = performance.now();
    while (this.countRunning(id) > 0 && performance.now() - startMs < END_OF_WORK_LIMIT_MS) {
      await sleep(5);
    }
    // If the test process itself was late, a close that has arrived is still to be handled.
    for (let turn = 0; turn < 3; turn += 1) await nextLoopTurn();
    if (this.countRunning(id) > 0) return false;
    // Another endpoint may have taken over.
    await sleep(RETRY_PERIOD_MS);
    return this.countRunning(id) === 0;
  }
}

const respondNever: Handle = () => undefined;

const respondWhole: Handle = (incoming, response) => {
  const id = String(incoming.headers[REQUEST_ID_HEADER]);
  response.writeHead(200, { [SEAL_HEADER]: '1', [REQUEST_ID_HEADER]: id }).end('whole');
};

/** Last event sent for each request by `respondEndlessly`. */
const lastEventIds = new Map<string, number>();

/** Waits until the buffers on the way to a caller that does not read are full. */
const waitUntilBlocked = async (id: string): Promise<void> => {
  for (let before = -1; before !== lastEventIds.get(id);) {
    before = lastEventIds.get(id) ?? 0;
    await sleep(50);
  }
};

/** Sends events without end, faster than a caller that does not read can take them. */
const respondEndlessly: Handle = (incoming, response) => {
  const id = String(incoming.headers[REQUEST_ID_HEADER]);
  response.writeHead(200, {
    [SEAL_HEADER]: '1',
    [REQUEST_ID_HEADER]: id,
    'content-type': 'text/event-stream',
  });
  let eventId = 0;
  const writeEvents = () => {
    if (response.destroyed) return;
    do {
      eventId += 1;
      lastEventIds.set(id, eventId);
    } while (response.write(`id: ${eventId}\ndata: ${'x'.repeat(EVENT_BYTES)}\n\n`));
    response.once('drain', writeEvents);
  };
  writeEvents();
};

const DEPARTURES = [
  { name: 'ends its connection', leave: (socket: Socket) => socket.end() },
  { name: 'resets its connection', leave: (socket: Socket) => socket.resetAndDestroy() },
] as const;

const endpoints = WorkingEndpoints.create();
endpoints.setHandler(respondWhole);
const rows = createRows(await endpoints.start());
const gateway = await startGateway(SETTINGS, createDependencies(rows), '/ready');
t.teardown(async () => {
  endpoints.stop();
  await gateway.drain('test');
});
await waitUntilReady(gateway);

const openCaller = async (): Promise<Socket> => {
  const socket = connect(gateway.callerPort, '127.0.0.1');
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
};

for (const { name, leave } of DEPARTURES) {
  // Guards against work at an endpoint for a response that nobody reads.
  t.test(`work ends when a caller ${name}`, async (t2) => {
    endpoints.setHandler(respondNever);
    for (const path of ['/read/x', '/stream/x', '/generate/x', '/claim/x']) {
      const id = `${name} ${path}`;
      const caller = await openCaller();
      caller.write(createRequestText('POST', path, id, 'prompt'));
      await endpoints.waitUntilRunning(id);
      leave(caller);
      t2.ok(await endpoints.endsInTime(id), path);
      t2.equal(endpoints.countReceived(id), 1);
      caller.destroy();
    }
  });

  // Guards against a departure that goes unnoticed: a response that waits for the one before it has no
  // connection of its own yet.
  t.test(`pipelined work ends when a caller ${name}`, async (t2) => {
    endpoints.setHandler(respondNever);
    const [first, second] = [`first, ${name}`, `second, ${name}`];
    const caller = await openCaller();
    caller.write(
      createRequestText('GET', '/read/x', first) + createRequestText('GET', '/read/x', second),
    );
    await endpoints.waitUntilRunning(first);
    await endpoints.waitUntilRunning(second);
    leave(caller);
    t2.ok(await endpoints.endsInTime(first));
    t2.ok(await endpoints.endsInTime(second));
    caller.destroy();
  });

  // Guards against a departure that is noticed only when the unread output has been delivered, and against
  // a repetition at another endpoint meanwhile.
  t.test(`work for a caller that does not read ends when it ${name}`, async (t2) => {
    endpoints.setHandler(respondEndlessly);
    const id = `unread, ${name}`;
    const caller = await openCaller();
    caller.pause();
    caller.write(createRequestText('POST', '/stream/x', id, 'prompt'));
    await endpoints.waitUntilRunning(id);
    await waitUntilBlocked(id);
    leave(caller);
    t2.ok(await endpoints.endsInTime(id));
    t2.equal(endpoints.countReceived(id), 1);
    caller.destroy();
  });
}

// Guards against a stall timeout that runs while the gateway itself has paused a sound endpoint.
t.test('a stream stays at its endpoint while its caller does not read', async (t2) => {
  endpoints.setHandler(respondEndlessly);
  const id = 'unread, stays';
  const caller = await openCaller();
  caller.pause();
  caller.write(createRequestText('POST', '/stream/x', id, 'prompt'));
  await endpoints.waitUntilRunning(id);
  await waitUntilBlocked(id);
  await sleep(STREAM_STALL_TIMEOUT_MS + 300);
  t2.equal(endpoints.countReceived(id), 1);
  caller.resetAndDestroy();
  t2.ok(await endpoints.endsInTime(id));
});

// Guards against starting work for callers that gave up while the node was short of processor time.
t.test('a request is not sent if its caller left before it was read', async (t2) => {
  endpoints.setHandler(respondWhole);
  const ids = Array.from({ length: 8 }, (_, index) => `late-${index}`);
  const texts = ids.map((id) => createRequestText('POST', '/read/x', id, 'prompt'));
  // The event loop of the gateway stands still while another process sends, leaves and ends.
  const { status } = spawnSync(process.execPath, [
    '-e',
    `for (const text of ${JSON.stringify(texts)})
      require('node:net').connect(${gateway.callerPort}, '127.0.0.1').end(text);
    setTimeout(() => process.exit(0), ${END_OF_WORK_LIMIT_MS});`,
  ]);
  t2.equal(status, 0);
  await send(gateway, '/read/x', 'after');
  t2.strictSame(
    ids.filter((id) => endpoints.countReceived(id) > 0),
    [],
  );
});
