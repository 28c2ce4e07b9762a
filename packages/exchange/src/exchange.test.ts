import assert from 'node:assert/strict';
import { createServer, type Socket } from 'node:net';
import { once } from 'node:events';
import fc from 'fast-check';
import t from 'tap';
import { MAX_EVENT_BYTES } from './constants.js';
import { ConnectionPool, decideNextStep, EventStreamFramer, type RetryInput } from './index.js';

const BASE_INPUT: RetryInput = {
  result: { type: 'broken' },
  isRetryable: true,
  possibleRuns: 1,
  sends: 1,
  maxPossibleRuns: 2,
  remainingMs: 1_000,
  expectedMs: 100,
  hasAlternative: true,
  hasRetryBudget: true,
  hasResponseStarted: false,
};

t.test(
  'a request that may have run is never refused as not run, nor retried unless it is retryable',
  async (t2) => {
    const input = fc.record({
      result: fc.constantFrom<RetryInput['result']>(
        { type: 'answered', isFailure: true },
        { type: 'answered', isFailure: false },
        { type: 'not_run', wasReceived: true },
        { type: 'not_run', wasReceived: false },
        { type: 'broken' },
        { type: 'stalled' },
      ),
      isRetryable: fc.boolean(),
      possibleRuns: fc.integer({ min: 0, max: 3 }),
      sends: fc.integer({ min: 1, max: 4 }),
      maxPossibleRuns: fc.integer({ min: 1, max: 3 }),
      remainingMs: fc.integer({ min: 0, max: 500 }),
      expectedMs: fc.integer({ min: 0, max: 500 }),
      hasAlternative: fc.boolean(),
      hasRetryBudget: fc.boolean(),
      hasResponseStarted: fc.boolean(),
    });
    fc.assert(
      fc.property(input, (retryInput) => {
        const step = decideNextStep(retryInput);
        const hasRun = retryInput.possibleRuns > 0 || retryInput.result.type !== 'not_run';
        // Anything else in a response that has begun would be read as a part of it.
        if (step.type === 'deliver')
          assert.ok(retryInput.result.type === 'answered' && !retryInput.hasResponseStarted);
        if (step.type === 'refuse')
          assert.ok(!(retryInput.possibleRuns > 0 || retryInput.hasResponseStarted));
        if (step.type === 'retry') {
          assert.ok(
            retryInput.hasRetryBudget &&
              retryInput.hasAlternative &&
              retryInput.possibleRuns < retryInput.maxPossibleRuns,
          );
          assert.ok(!(hasRun && !retryInput.isRetryable && retryInput.result.type !== 'not_run'));
        }
      }),
    );
    t2.end();
  },
);

t.test('a failure response is delivered if the request cannot be retried', async (t2) => {
  const result = { type: 'answered', isFailure: true } as const;
  t2.equal(decideNextStep({ ...BASE_INPUT, result }).type, 'retry');
  t2.equal(decideNextStep({ ...BASE_INPUT, result, hasRetryBudget: false }).type, 'deliver');
  t2.equal(decideNextStep({ ...BASE_INPUT, result, isRetryable: false }).type, 'deliver');
});

t.test('a response that does not continue a stream is replaced or ends the stream', async (t2) => {
  for (const isFailure of [true, false]) {
    const input = {
      ...BASE_INPUT,
      result: { type: 'answered', isFailure },
      hasResponseStarted: true,
    } as const;
    t2.equal(decideNextStep(input).type, 'retry');
    t2.equal(decideNextStep({ ...input, hasRetryBudget: false }).type, 'fail');
    t2.equal(decideNextStep({ ...input, isRetryable: false }).type, 'fail');
  }
});

const createEvent = (id: number) => `id: ${id}\ndata: chunk ${id}\n\n`;

t.test('events split at any byte are returned complete and in order', async (t2) => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 12 }),
      fc.array(fc.integer({ min: 1, max: 40 }), { maxLength: 20 }),
      (count, chunkSizes) => {
        const text = Array.from({ length: count }, (_, index) => createEvent(index + 1)).join('');
        const framer = EventStreamFramer.create(0);
        let output = '';
        let remaining = Buffer.from(text);
        for (const chunkSize of [...chunkSizes, text.length]) {
          const result = framer.addChunk(remaining.subarray(0, chunkSize));
          remaining = remaining.subarray(chunkSize);
          if (result.type === 'events') output += result.events.bytes.toString();
          assert.notEqual(result.type, 'fault');
          assert.ok(output === '' || output.endsWith('\n\n'));
        }
        assert.equal(output, text);
        assert.equal(framer.lastEventId, count);
      },
    ),
  );
  t2.end();
});

t.test('events that were already received are rejected after a resumption', async (t2) => {
  const framer = EventStreamFramer.create(0);
  framer.addChunk(Buffer.from(`${createEvent(1)}${createEvent(2)}id: 3\nda`));
  framer.discardPartialEvent();
  t2.equal(framer.addChunk(Buffer.from(createEvent(2))).type, 'fault');
  t2.equal(framer.addChunk(Buffer.from(createEvent(3))).type, 'events');
});

// Guards against a missing piece: a stream is resumed after the last event that was returned.
t.test('events before an invalid one in the same chunk are not counted as received', async (t2) => {
  for (const rest of [createEvent(1), `id: 3\ndata: ${'x'.repeat(MAX_EVENT_BYTES)}`]) {
    const framer = EventStreamFramer.create(0);
    const result = framer.addChunk(Buffer.from(`${createEvent(1)}${createEvent(2)}${rest}`));
    t2.equal(result.type, 'fault');
    t2.equal(framer.lastEventId, 0);
  }
});

t.test('an event that skips an id is rejected if none was skipped before', async (t2) => {
  const framer = EventStreamFramer.create(0);
  framer.addChunk(Buffer.from(`${createEvent(1)}${createEvent(2)}`));
  t2.equal(framer.addChunk(Buffer.from(createEvent(4))).type, 'fault');
  t2.equal(framer.addChunk(Buffer.from(createEvent(3))).type, 'events');
  const wide = EventStreamFramer.create(0);
  t2.equal(wide.addChunk(Buffer.from(`${createEvent(5)}${createEvent(10)}`)).type, 'events');
});

// Guards against a response that follows a stream without a length on the same connection.
t.test('the head of a response is not an event', async (t2) => {
  const framer = EventStreamFramer.create(0);
  framer.addChunk(Buffer.from(createEvent(1)));
  const extra = 'HTTP/1.1 503 Service Unavailable\r\nx: 1\r\n\r\n{}\n\n';
  t2.equal(framer.addChunk(Buffer.from(extra)).type, 'fault');
  const text = 'id: 2\ndata: HTTP/1.1 200 OK\n\n';
  t2.equal(framer.addChunk(Buffer.from(text)).type, 'events');
});

const withResolvers = () => {
  let resolve: (value: string) => void = () => undefined;
  const promise = new Promise<string>((done) => {
    resolve = done;
  });
  return { promise, resolve: (value: string) => resolve(value) };
};

/** Starts a TCP server that sends raw response bytes on each connection. */
const startRawServer = async (answer: (socket: Socket) => void) => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => answer(socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  return { server, port: typeof address === 'object' && address !== null ? address.port : 0 };
};

const sendOnce = (
  pool: ConnectionPool,
  port: number,
  { isRepeat = false, maxConnections = 4, canSend = (): boolean => true } = {},
): Promise<string> =>
  new Promise((resolve) => {
    let body = '';
    const request = {
      method: 'GET',
      path: '/',
      createHeaders: () => ['host', 'x'],
      body: undefined,
      isRepeat,
    };
    pool.send('i-1', `127.0.0.1:${port}`, maxConnections, request, {
      canSend,
      onHeaders: () => undefined,
      onData: (chunk) => {
        body += chunk.toString();
      },
      onEnd: () => resolve(`end:${body}`),
      onFailure: ({ type }) => resolve(type),
    });
  });

t.test('a response without length whose connection is reset is incomplete', async (t2) => {
  const { server, port } = await startRawServer((socket) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\npart', () => {
      setImmediate(() => socket.resetAndDestroy());
    });
  });
  const pool = ConnectionPool.create();
  t2.equal(await sendOnce(pool, port), 'broken');
  pool.closeAll();
  server.close();
});

// Guards against a faulty endpoint that keeps a node busy with bytes without end until the time limit.
for (const [name, start, rest] of [
  ['not a response', '', 'x'],
  ['status line', 'HTTP/1.1 200 ', 'x'],
  ['header', 'HTTP/1.1 200 OK\r\nx: ', 'x'],
  ['informational responses', '', 'HTTP/1.1 102 Processing\r\n\r\n'],
  ['chunk extension', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;', 'x'],
  ['trailers', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n', 'a: b\r\n'],
] as const) {
  t.test(`a response that never ends is broken off: ${name}`, async (t2) => {
    const { server, port } = await startRawServer((socket) => {
      const bytes = Buffer.from(rest.repeat(4_096));
      const writeWithoutEnd = () => {
        if (!socket.destroyed) socket.write(bytes, () => setImmediate(writeWithoutEnd));
      };
      if (start !== '') socket.write(start);
      writeWithoutEnd();
    });
    const pool = ConnectionPool.create();
    t2.equal(await sendOnce(pool, port), 'broken');
    pool.closeAll();
    server.close();
  });
}

t.test('a response without length whose connection ends regularly is complete', async (t2) => {
  const { server, port } = await startRawServer((socket) => {
    socket.end('HTTP/1.1 200 OK\r\n\r\nwhole');
  });
  const pool = ConnectionPool.create();
  t2.equal(await sendOnce(pool, port), 'end:whole');
  pool.closeAll();
  server.close();
});

t.test('a response shorter than its Content-Length is incomplete', async (t2) => {
  const { server, port } = await startRawServer((socket) => {
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart');
  });
  const pool = ConnectionPool.create();
  t2.equal(await sendOnce(pool, port), 'broken');
  pool.closeAll();
  server.close();
});

const IDLE_REQUEST = {
  method: 'GET',
  path: '/',
  createHeaders: () => [],
  body: undefined,
  isRepeat: false,
};
const IDLE_LISTENER = {
  canSend: () => true,
  onHeaders: () => undefined,
  onData: () => undefined,
  onEnd: () => undefined,
  onFailure: () => undefined,
};

t.test('a refused connection is reported as not sent', async (t2) => {
  const { server, port } = await startRawServer(() => undefined);
  server.close();
  await once(server, 'close');
  const pool = ConnectionPool.create();
  t2.equal(await sendOnce(pool, port), 'not_sent');
  pool.closeAll();
});

t.test(
  'cancelling a request resets its connection, so that no buffered bytes arrive later',
  async (t2) => {
    const { promise: ended, resolve } = withResolvers();
    const { promise: received, resolve: markReceived } = withResolvers();
    const { server, port } = await startRawServer((socket) => {
      markReceived('');
      socket.once('error', (error) => resolve('code' in error ? String(error.code) : ''));
      socket.once('end', () => resolve('end'));
    });
    const pool = ConnectionPool.create();
    const request = {
      method: 'GET',
      path: '/',
      createHeaders: () => ['host', 'x'],
      body: undefined,
      isRepeat: false,
    };
    const exchange = pool.send('i-1', `127.0.0.1:${port}`, 4, request, {
      canSend: () => true,
      onHeaders: () => undefined,
      onData: () => undefined,
      onEnd: () => undefined,
      onFailure: () => undefined,
    });
    await received;
    exchange?.cancel();
    t2.equal(await ended, 'ECONNRESET');
    server.close();
  },
);

// Guards against an error that nothing catches: 20 of them within 10 s end a process.
t.test('cancelling a request during a response without a length is no error', async (t2) => {
  const errors: string[] = [];
  const handleError = (error: Error) => errors.push(error.message);
  process.on('uncaughtException', handleError);
  t2.teardown(() => process.off('uncaughtException', handleError));
  const { promise: closed, resolve } = withResolvers();
  const { server, port } = await startRawServer((socket) => {
    socket.once('error', () => undefined);
    socket.once('close', () => resolve(''));
    socket.write('HTTP/1.1 200 OK\r\n\r\nfirst');
  });
  t2.teardown(() => server.close());
  const pool = ConnectionPool.create();
  const request = {
    method: 'GET',
    path: '/',
    createHeaders: () => ['host', 'x'],
    body: undefined,
    isRepeat: false,
  };
  const results: string[] = [];
  const exchange = pool.send('i-1', `127.0.0.1:${port}`, 4, request, {
    canSend: () => true,
    onHeaders: () => undefined,
    onData: () => setImmediate(() => exchange?.cancel()),
    onEnd: () => results.push('end'),
    onFailure: ({ type }) => results.push(type),
  });
  await closed;
  t2.strictSame(errors, []);
  t2.strictSame(results, []);
});

t.test('surplus bytes after a response are not read as the next response', async (t2) => {
  const extra = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra';
  const { server, port } = await startRawServer((socket) => {
    socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst${extra}`);
  });
  const pool = ConnectionPool.create();
  t2.equal(await sendOnce(pool, port), 'end:first');
  t2.equal(await sendOnce(pool, port), 'end:first');
  t2.equal(pool.openedConnections, 2);
  pool.closeAll();
  server.close();
});

t.test('a request that is repeated gets a new connection, even at the limit', async (t2) => {
  const { server, port } = await startRawServer((socket) => {
    const respond = () => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole');
    respond();
    socket.on('data', respond);
  });
  const pool = ConnectionPool.create();
  for (const [isRepeat, opened] of [
    [false, 1],
    [false, 1],
    [true, 2],
    [false, 2],
  ] as const) {
    t2.equal(await sendOnce(pool, port, { isRepeat, maxConnections: 1 }), 'end:whole');
    // The connection is released after the response has been handled.
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    t2.equal(pool.openedConnections, opened);
  }
  pool.closeAll();
  server.close();
});

// Guards against connection attempts to an endpoint that refuses them, while idle connections carry requests.
t.test('without new connections, a request is sent on an idle one only', async (t2) => {
  const { server, port } = await startRawServer((socket) => {
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole');
  });
  const pool = ConnectionPool.create();
  const openings: string[] = [];
  pool.onOpening = (endpointId, { type }) => openings.push(`${endpointId} ${type}`);
  t2.equal(pool.hasFreeConnection('i-1', 0), false);
  t2.equal(pool.send('i-1', `127.0.0.1:${port}`, 0, IDLE_REQUEST, IDLE_LISTENER), undefined);
  t2.equal(await pool.probe('i-1', `127.0.0.1:${port}`), 'accepted');
  t2.equal(pool.hasFreeConnection('i-1', 0), true);
  t2.equal(await sendOnce(pool, port, { maxConnections: 0 }), 'end:whole');
  t2.strictSame([pool.openedConnections, openings], [1, ['i-1 established']]);
  pool.closeAll();
  server.close();
  await once(server, 'close');
  t2.equal(await pool.probe('i-1', `127.0.0.1:${port}`), 'refused');
  t2.equal(openings.at(-1), 'i-1 failed');
});

// Guards against requests that wait for a connection and are sent after the endpoint said that it takes none.
t.test(
  'a request is withdrawn if it may no longer be sent once its connection is open',
  async (t2) => {
    let connections = 0;
    let receivedBytes = 0;
    const server = createServer((socket) => {
      connections += 1;
      socket.on('error', () => undefined);
      socket.on('data', (chunk) => {
        receivedBytes += chunk.length;
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const address = server.address();
    const port = typeof address === 'object' && address !== null ? address.port : 0;
    const pool = ConnectionPool.create();
    let mayBeSent = true;
    const withdrawn = sendOnce(pool, port, { canSend: () => mayBeSent });
    // The connection opens after this turn of the event loop.
    mayBeSent = false;
    const accepted = once(server, 'connection');
    t2.equal(await withdrawn, 'withdrawn');
    await accepted;
    const closed = once(server, 'close');
    server.close();
    pool.closeAll();
    await closed;
    t2.equal(connections, 1);
    t2.equal(receivedBytes, 0);
  },
);

// Guards against endpoints that are told a time limit from before the connection was opened, which can take 800 ms.
t.test('headers are created when the connection is open', async (t2) => {
  const { server, port } = await startRawServer((socket) => {
    const answer = () => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
    answer();
    socket.on('data', answer);
  });
  const pool = ConnectionPool.create();
  const send = async () => {
    let isSynchronous = true;
    let wasSynchronous: boolean | undefined;
    const { promise, resolve } = withResolvers();
    const createHeaders = () => {
      wasSynchronous = isSynchronous;
      return [];
    };
    const listener = { ...IDLE_LISTENER, onEnd: () => resolve('') };
    pool.send('i-1', `127.0.0.1:${port}`, 1, { ...IDLE_REQUEST, createHeaders }, listener);
    isSynchronous = false;
    await promise;
    return wasSynchronous;
  };
  t2.equal(await send(), false, 'a new connection');
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  t2.equal(await send(), true, 'an idle connection');
  pool.closeAll();
  server.close();
});
