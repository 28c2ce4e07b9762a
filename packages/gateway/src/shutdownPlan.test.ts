import assert from 'node:assert/strict';
import fc from 'fast-check';
import t from 'tap';
import { startGateway } from './index.js';
import { RouteDurations } from './routeDurations.js';
import { createShutdownPlan, decideShutdownAdmission } from './shutdownPlan.js';
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

// Guards against requests that arrive late in a planned stop, are passed on and cut off at its end.
t.test('a request that is taken ends before the process does', async (t2) => {
  fc.assert(
    fc.property(
      fc.integer({ min: 0, max: 30_000 }),
      fc.integer({ min: 0, max: 40_000 }),
      fc.integer({ min: 1, max: 60_000 }),
      fc.option(fc.integer({ min: 1, max: 60_000 }), { nil: undefined }),
      (graceMs, elapsedMs, timeLimitMs, usualDurationMs) => {
        const plan = createShutdownPlan(graceMs);
        assert.ok(plan.acceptUntilMs <= plan.closeAtMs && plan.closeAtMs <= plan.endAtMs);
        assert.ok(plan.endAtMs <= graceMs);
        const { type } = decideShutdownAdmission({ plan, elapsedMs, timeLimitMs, usualDurationMs });
        if (type !== 'take') return;
        const durationMs = Math.min(timeLimitMs, usualDurationMs ?? timeLimitMs);
        assert.ok(elapsedMs + durationMs < plan.endAtMs && elapsedMs < plan.acceptUntilMs);
      },
    ),
  );
  t2.end();
});

t.test('short requests are taken until the load balancer has noticed the stop', async (t2) => {
  const plan = createShutdownPlan(8_000);
  const decide = (elapsedMs: number) =>
    decideShutdownAdmission({ plan, elapsedMs, timeLimitMs: 1_200, usualDurationMs: undefined });
  t2.equal(decide(0).type, 'take');
  t2.equal(decide(2_600).type, 'take');
  t2.equal(decide(2_700).type, 'refuse');
});

// Guards against a stop that refuses requests which would end long before it: other nodes have their load already.
t.test('the usual duration covers nearly all responses of a route', async (t2) => {
  const durations = RouteDurations.create();
  t2.equal(durations.getUsualMs('r', 0), undefined);
  for (let index = 0; index < 200; index++) durations.recordResponse('r', 500 + (index % 10) * 40);
  const usualMs = durations.getUsualMs('r', 0) ?? 0;
  t2.ok(usualMs > 860 && usualMs < 2_000, `${usualMs}`);
  // A few responses of an overloaded time don't make the route a slow one.
  for (let index = 0; index < 100; index++)
    durations.recordResponse('late', index % 20 === 0 ? 6_000 : 800);
  t2.ok((durations.getUsualMs('late', 0) ?? 0) < 3_000, `${durations.getUsualMs('late', 0)}`);
  t2.equal(durations.getUsualMs('new', 0), Math.max(usualMs, durations.getUsualMs('late', 0) ?? 0));
});

// Guards against a stop that takes requests of a slow route without a response, as those of other routes are quick.
t.test('a route without a response is at least as slow as its requests in progress', async (t2) => {
  const durations = RouteDurations.create();
  durations.recordArrival('slow', 1_000);
  t2.equal(durations.getUsualMs('slow', 2_000), undefined, 'the time limit counts');
  durations.recordResponse('quick', 5);
  const quickMs = durations.getUsualMs('quick', 2_000);
  t2.equal(durations.getUsualMs('slow', 1_001), quickMs);
  t2.equal(durations.getUsualMs('slow', 2_500), 3_000);
  durations.recordArrival('slow', 2_400);
  durations.recordFailure('slow', 2_400);
  t2.equal(durations.getUsualMs('slow', 2_500), 3_000, 'the oldest request is still in progress');
  durations.recordFailure('slow', 1_000);
  t2.equal(durations.getUsualMs('slow', 9_000), quickMs);
  durations.recordArrival('slow', 9_000);
  durations.recordResponse('slow', 4_000);
  t2.equal(durations.getUsualMs('slow', 60_000), durations.getUsualMs('slow', 9_001));
});

/** Lets the client, which is in this process as well, read the bytes that the system had before the process ended. */
const waitForDelivery = async (): Promise<void> => {
  for (let turn = 0; turn < 3; turn++)
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
};

const RESPONSE_DELAY_MS = 3_000;
const REQUEST_INTERVAL_MS = 250;

t.test('no request is cut off in a planned stop, at whatever time it arrives', async (t2) => {
  const endpoint = new FakeEndpoint();
  const port = await endpoint.start();
  const gateway = await startGateway(SETTINGS, createDependencies(createRows([port])), '/ready');
  await waitUntilReady(gateway);
  endpoint.handle = (incoming, response) => {
    setTimeout(() => {
      response
        .writeHead(200, {
          [SEAL_HEADER]: '1',
          [REQUEST_ID_HEADER]: String(incoming.headers[REQUEST_ID_HEADER]),
        })
        .end('whole');
    }, RESPONSE_DELAY_MS);
  };
  const beforeStop = send(gateway, '/claim/x', 'before');
  while (!endpoint.received.includes('before'))
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  // The process ends when the drain has, with what is then in progress.
  const inProgress = new Set<string>();
  let cutIds: string[] | undefined;
  const stopping = gateway.drain('test').then(async () => {
    await waitForDelivery();
    cutIds = [...inProgress].filter((id) => endpoint.received.includes(id));
  });
  const results: Promise<string>[] = [];
  for (let index = 0; cutIds === undefined; index++) {
    const id = `late-${index}`;
    const result = send(gateway, '/claim/x', id).then(
      ({ status, text }) => `${status === 200 ? text : status}`,
      // A connection that is refused or closed unread never reaches the endpoint.
      () => (endpoint.received.includes(id) ? 'cut' : 'not read'),
    );
    inProgress.add(id);
    results.push(result.finally(() => inProgress.delete(id)));
    await new Promise((resolve) => {
      setTimeout(resolve, REQUEST_INTERVAL_MS);
    });
  }
  await stopping;
  t2.strictSame(cutIds, []);
  const allowed = ['whole', '503', 'not read'];
  t2.strictSame(
    (await Promise.all(results)).filter((result) => !allowed.includes(result)),
    [],
  );
  t2.equal((await beforeStop).text, 'whole');
  endpoint.stop();
});

// Guards against a stop that cuts off responses which arrived while the event loop stood still at its end.
t.test(
  'a response that arrives during a stall at the end of a planned stop is passed on',
  async (t2) => {
    const endpoint = new FakeEndpoint();
    const port = await endpoint.start();
    const gateway = await startGateway(SETTINGS, createDependencies(createRows([port])), '/ready');
    await waitUntilReady(gateway);
    const { endAtMs } = createShutdownPlan(SETTINGS.bounds.shutdownGraceMs);
    const stallMs = 300;
    endpoint.handle = (incoming, response) => {
      setTimeout(() => {
        response
          .writeHead(200, {
            [SEAL_HEADER]: '1',
            [REQUEST_ID_HEADER]: String(incoming.headers[REQUEST_ID_HEADER]),
          })
          .end('whole');
      }, endAtMs - 100);
    };
    const result = send(gateway, '/claim/x', 'stalled');
    let isReceived = false;
    const receiving = result.then(() => {
      isReceived = true;
    });
    const stopping = gateway.drain('test').then(async () => {
      await waitForDelivery();
      return isReceived;
    });
    setTimeout(() => {
      const stallEndMs = performance.now() + stallMs;
      while (performance.now() < stallEndMs);
    }, endAtMs - 200);
    t2.ok(await stopping);
    t2.equal((await result).text, 'whole');
    await receiving;
    endpoint.stop();
  },
);
