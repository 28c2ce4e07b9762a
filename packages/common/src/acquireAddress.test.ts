import { once } from 'node:events';
import { createServer, type Server } from 'node:net';
import t, { type Test } from 'tap';
import { type AddressEvent, acquireAddress, formatAddressError } from './acquireAddress.js';
import { processClock } from './clock.js';

const HOST = '127.0.0.1';
const MAX_WAIT_MS = 300;

const listen = async (host: string, port: number): Promise<Server> => {
  const server = createServer();
  server.listen(port, host);
  await once(server, 'listening');
  return server;
};

const getPort = (server: Server): number => {
  const address = server.address();
  return typeof address === 'object' && address !== null ? address.port : 0;
};

const holdPort = async (test: Test) => {
  const holder = await listen(HOST, 0);
  test.teardown(() => {
    holder.close();
  });
  return { holder, port: getPort(holder) };
};

const acquire = async (
  port: number,
  more: {
    readonly host?: string;
    readonly maxWaitMs?: number;
    readonly signal?: AbortSignal;
    readonly onEvent?: (event: AddressEvent) => void;
  },
) => {
  const events: AddressEvent[] = [];
  const { host = HOST, maxWaitMs = MAX_WAIT_MS, signal } = more;
  const result = await acquireAddress({
    listener: 'test',
    host,
    port,
    open: async () => listen(host, port),
    maxWaitMs,
    clock: processClock,
    signal,
    onEvent: (event) => {
      events.push(event);
      more.onEvent?.(event);
    },
  });
  if (result.isOk()) result.value.close();
  const error = result.isErr() ? result.error : undefined;
  return { error, types: events.map(({ type }) => type) };
};

// Guards against a start that fails because another process holds an address for a short time.
t.test('an address is acquired once its holder releases it', async (t2) => {
  const { holder, port } = await holdPort(t2);
  const onEvent = ({ type }: AddressEvent) => {
    if (type === 'waiting_for_address') holder.close();
  };
  const { error, types } = await acquire(port, { maxWaitMs: Infinity, onEvent });
  t2.equal(error, undefined);
  t2.strictSame(types, ['waiting_for_address', 'address_acquired']);
});

t.test('a free address is acquired without an event', async (t2) => {
  const { error, types } = await acquire(0, {});
  t2.equal(error, undefined);
  t2.strictSame(types, []);
});

// Guards against a process that waits for ever for an address that is never released.
t.test('the wait for an address is bounded and its error names the address', async (t2) => {
  const { port } = await holdPort(t2);
  const { error, types } = await acquire(port, {});
  t2.match(error, { type: 'timed_out', listener: 'test', address: `${HOST}:${port}` });
  t2.match(
    error && formatAddressError(error),
    `test listener could not get ${HOST}:${port} within`,
  );
  t2.strictSame(types, ['waiting_for_address']);
});

// Guards against a wait for an address that can never be used.
t.test('an address that can not be used fails at once', async (t2) => {
  const cases = [
    { host: '203.0.113.1', port: 0, reason: 'EADDRNOTAVAIL' },
    { host: HOST, port: 65_536, reason: 'should be >= 0 and < 65536' },
    { host: '300.0.0.1', port: 0, reason: /ENOTFOUND|EAI_AGAIN/ },
  ];
  for (const { host, port, reason } of cases) {
    const { error, types } = await acquire(port, { host, maxWaitMs: Infinity });
    t2.match(error, { type: 'unusable', address: `${host}:${port}`, reason });
    t2.strictSame(types, []);
  }
});

// Guards against a wait that outlives the process's need of the address.
t.test('a wait for an address ends with its signal', async (t2) => {
  const { port } = await holdPort(t2);
  const abort = new AbortController();
  const onEvent = () => abort.abort();
  const { error } = await acquire(port, { maxWaitMs: Infinity, signal: abort.signal, onEvent });
  t2.match(error, { type: 'timed_out' });
});
