import { spawn } from 'node:child_process';
import { once } from 'node:events';
import t from 'tap';
import { startGateway } from '../index.js';
import {
  createDependencies,
  createRows,
  FakeEndpoint,
  REQUEST_ID_HEADER,
  SETTINGS,
  waitUntilReady,
} from '../testGateway.js';

const CALLERS = 200;
/** Processor time of each turn of the event loop, in milliseconds; a delay of 250 ms would be logged. */
const TURN_MS = 8;
/** Time by which a time limit that is handed on may exceed the one of the caller, in milliseconds. */
const MAX_EXCESS_MS = 500;

/** Opens all connections at once, each with one request whose id says when it was sent. */
const CALLERS_SCRIPT = `
  const { connect } = require('node:net');
  const [, port, count, header] = process.argv;
  for (let index = 0; index < Number(count); index += 1) {
    const text = ['GET /read/x HTTP/1.1', 'host: a.example', header + ': ' + Date.now() + '-' + index, 'connection: close', '', ''];
    connect(Number(port), '127.0.0.1').on('error', () => undefined).resume().write(text.join('\\r\\n'));
  }`;

// Guards against time limits that begin when a request is read: libuv accepts one connection per turn of the event loop,
// so that the last one of a burst waits for as many turns as there are connections before it.
t.test('the wait in the accept queue counts for the time limit', async (t2) => {
  const endpoint = new FakeEndpoint();
  const dependencies = createDependencies(createRows([await endpoint.start()]));
  const excessMs = new Map<string, number>();
  const gateway = await startGateway(
    SETTINGS,
    {
      ...dependencies,
      headers: {
        ...dependencies.headers,
        encodeEndpointHeaders: (head, options) => {
          const sentAtMs = Number(head.requestId.split('-')[0]);
          const limitMs = head.timeLimitMs ?? 0;
          excessMs.set(head.requestId, Date.now() + options.remainingMs - sentAtMs - limitMs);
          return dependencies.headers.encodeEndpointHeaders(head, options);
        },
      },
    },
    '/ready',
  );
  t2.teardown(async () => {
    endpoint.stop();
    await gateway.drain('test');
  });
  await waitUntilReady(gateway);
  let isBusy = true;
  const runBusyTurn = () => {
    const untilMs = performance.now() + TURN_MS;
    while (performance.now() < untilMs);
    if (isBusy) setImmediate(runBusyTurn);
  };
  runBusyTurn();
  const callers = spawn(
    process.execPath,
    ['-e', CALLERS_SCRIPT, String(gateway.callerPort), String(CALLERS), REQUEST_ID_HEADER],
    { stdio: 'ignore' },
  );
  await once(callers, 'exit');
  isBusy = false;
  t2.ok(excessMs.size > 0, 'requests were sent');
  t2.strictSame(
    [...excessMs].filter(([, excess]) => excess > MAX_EXCESS_MS),
    [],
  );
});
