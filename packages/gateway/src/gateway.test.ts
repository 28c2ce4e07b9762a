import { once } from 'node:events';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import t from 'tap';
import type { EndpointRecord } from '@lovagearch/endpoints';
import type { MirroredRow, ReadResult } from '@lovagearch/mirror';
import type { Route, TrafficConfiguration } from '@lovagearch/traffic';
import { request } from 'undici';
import {
  type RequestHead,
  type Gateway,
  type GatewayDependencies,
  type GatewaySettings,
  startGateway,
} from './index.js';

const OPERATOR_TABLE = 'operator';
const ENDPOINT_TABLE = 'endpoints';
const SEAL_HEADER = 'x-seal';
const REQUEST_ID_HEADER = 'x-id';

const createRoute = (name: string, overrides: Partial<Route>): Route => ({
  name,
  host: 'a.example',
  prefix: `/${name}/`,
  kind: 'idempotent',
  targets: [{ service: 'app', weight: 1 }],
  timeoutMs: 5_000,
  targetLatencyMs: 2_000,
  maxEventGapMs: 1_000,
  maxAttempts: 2,
  priority: 0,
  isPublic: true,
  isResumable: false,
  hasPromptParts: false,
  ...overrides,
});

const CONFIGURATION: TrafficConfiguration = {
  version: 1,
  routes: [
    createRoute('read', {}),
    createRoute('claim', { kind: 'non_idempotent', maxAttempts: 1 }),
    createRoute('stream', { kind: 'streaming', isResumable: true }),
  ],
  services: [{ name: 'app', maxConnections: 100 }],
  cacheStores: [],
  limits: {
    maxHeaderBytes: 4_096,
    maxBodyBytes: 100,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 5_000,
  },
};

/** Endpoint with a replaceable handler that records the ids of the requests it receives. */
class FakeEndpoint {
  readonly received: string[] = [];

  handle: (incoming: IncomingMessage, response: ServerResponse) => void = (incoming, response) => {
    response
      .writeHead(200, {
        [SEAL_HEADER]: '1',
        [REQUEST_ID_HEADER]: String(incoming.headers[REQUEST_ID_HEADER]),
      })
      .end('whole');
  };

  private readonly server = createServer((incoming, response) => {
    this.received.push(String(incoming.headers[REQUEST_ID_HEADER]));
    incoming.resume();
    incoming.once('end', () => this.handle(incoming, response));
  });

  async start(): Promise<number> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

const getFirstValue = (value: string | string[] | undefined) =>
  Array.isArray(value) ? value[0] : value;

const createPorts = (rows: ReadonlyMap<string, readonly MirroredRow[]>): GatewayDependencies => {
  const readAll = async (table: string): Promise<ReadResult> => ({
    type: 'rows',
    batch: { rows: rows.get(table) ?? [], version: 1, isPartial: false, ageMs: 0 },
  });
  return {
    headers: {
      requestIdHeader: REQUEST_ID_HEADER,
      decodeRequestHead: (method, path, raw) => {
        const values = new Map<string, string>();
        for (let index = 0; index < raw.length; index += 2) {
          values.set(raw[index]!.toLowerCase(), raw[index + 1]!);
        }
        const head: RequestHead = {
          requestId: values.get(REQUEST_ID_HEADER) ?? '',
          method,
          path,
          host: values.get('host') ?? '',
          key: undefined,
          timeLimitMs: 5_000,
          lastEventId: 0,
          model: undefined,
          promptParts: [],
          promptTokens: 0,
          maxOutputTokens: 0,
          forwardedHeaders: [
            'host',
            values.get('host') ?? '',
            REQUEST_ID_HEADER,
            values.get(REQUEST_ID_HEADER) ?? '',
          ],
        };
        return { type: 'head', head };
      },
      encodeEndpointHeaders: (head, { lastEventId }) => [
        ...head.forwardedHeaders,
        'last-event-id',
        String(lastEventId),
      ],
      decodeResponseHead: (status, headers) => ({
        status,
        requestId: getFirstValue(headers[REQUEST_ID_HEADER]),
        hasOriginProof: headers[SEAL_HEADER] !== undefined,
        isNotRun: headers['x-not-run'] !== undefined,
        isMisdirected: false,
        respondingEndpointId: undefined,
        load: undefined,
        isEventStream: headers['content-type'] === 'text/event-stream',
        weightVersion: undefined,
        callerHeaders: [SEAL_HEADER, getFirstValue(headers[SEAL_HEADER]) ?? ''],
      }),
    },
    rows: {
      operatorTable: OPERATOR_TABLE,
      endpointTable: ENDPOINT_TABLE,
      decodeConfiguration: () => ({ type: 'value', value: CONFIGURATION }),
      decodeWeightTarget: () => ({ type: 'ignored' }),
      decodeEndpoint: (_key, value) => ({
        type: 'value',
        value: { ...(JSON.parse(value) as EndpointRecord), weights: new Map() },
      }),
      decodeSharedValue: (value) => JSON.parse(value) as unknown,
    },
    tables: {
      readAll,
      readChanges: async (table, afterVersion, waitMs) => {
        await new Promise((resolve) => {
          setTimeout(resolve, waitMs).unref();
        });
        return readAll(table).then((result) =>
          result.type === 'rows'
            ? {
                type: 'rows',
                batch: { ...result.batch, rows: [], version: afterVersion, isPartial: true },
              }
            : result,
        );
      },
    },
    shared: { write: async () => true },
    lease: {
      read: async () => ({ type: 'row', row: null }),
      write: async () => ({ type: 'unknown', reason: 'not used' }),
    },
    orders: {
      readReport: async () => undefined,
      sendOrder: async () => ({ type: 'rejected', reason: 'not used' }),
    },
    cacheStores: { readEvents: async () => undefined, freeParts: async () => false },
  };
};

const ANY_PORT = { host: '127.0.0.1', port: 0 };
const SETTINGS: GatewaySettings = {
  nodeName: 'n1',
  zone: 'z1',
  region: 'r1',
  regionByZone: new Map([['z1', 'r1']]),
  callerAddress: ANY_PORT,
  readinessAddress: ANY_PORT,
  peerAddress: ANY_PORT,
  loadAddress: ANY_PORT,
  metricsPort: 0,
  seeds: [],
  memoryMb: 100,
  heartbeatMs: 1_000,
  bounds: {
    retryBudgetRatio: 0.2,
    retryWindowS: 10,
    retrySlack: 50,
    shutdownGraceMs: 5_000,
    configurationLimitMs: 2_500,
    endpointLeaveLimitMs: 2_500,
    contactLimitMs: 3_000,
    weightRolloutLimitMs: 10_000,
    leaseHandoverDelayMs: 3_000,
  },
};

const createRows = (ports: readonly number[]) => {
  const endpoints = ports.map((port, index): MirroredRow => {
    const record = {
      id: `i-${index}`,
      startedUnixMs: 1,
      service: 'app',
      address: `127.0.0.1:${port}`,
      zone: 'z1',
      slots: 4,
      state: 'ready',
      warmupRemainingMs: 0,
      heartbeat: 1,
    };
    return { key: record.id, version: 1, value: JSON.stringify(record) };
  });
  return new Map([
    [OPERATOR_TABLE, [{ key: 'configuration', version: 1, value: 'x' }]],
    [ENDPOINT_TABLE, endpoints],
  ]);
};

const send = async (gateway: Gateway, path: string, id: string, body?: string) => {
  const response = await request(`http://127.0.0.1:${gateway.callerPort}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: { host: 'a.example', [REQUEST_ID_HEADER]: id },
    ...(body === undefined ? {} : { body }),
  });
  const text = await response.body.text().catch(() => 'cut');
  return { status: response.statusCode, text, headers: response.headers };
};

/** Waits until the gateway has applied its first configuration and endpoints. */
const waitUntilReady = async (gateway: Gateway) => {
  for (;;) {
    const { status } = await send(gateway, '/read/x', 'ready');
    if (status === 200) return;
  }
};

t.test('one gateway process', async (t2) => {
  const endpoints = [new FakeEndpoint(), new FakeEndpoint()];
  const ports = await Promise.all(endpoints.map((endpoint) => endpoint.start()));
  const gateway = await startGateway(SETTINGS, createPorts(createRows(ports)), '/ready');
  await waitUntilReady(gateway);
  const reset = () => {
    for (const endpoint of endpoints) {
      endpoint.received.length = 0;
      endpoint.handle = new FakeEndpoint().handle;
    }
  };
  const countReceived = (id: string) =>
    endpoints.reduce(
      (sum, { received }) => sum + received.filter((receivedId) => receivedId === id).length,
      0,
    );
  t2.beforeEach(reset);

  await t2.test(
    'a non-idempotent request whose connection breaks is sent once and not refused as not run',
    async (t3) => {
      for (const endpoint of endpoints) endpoint.handle = (incoming) => incoming.socket.destroy();
      const { status } = await send(gateway, '/claim/x', 'c1', 'pay');
      t3.equal(status, 502);
      t3.equal(countReceived('c1'), 1);
    },
  );

  await t2.test(
    'an idempotent request is retried at another endpoint after a failure',
    async (t3) => {
      let requestCount = 0;
      const handle: FakeEndpoint['handle'] = (incoming, response) => {
        const status = requestCount === 0 ? 500 : 200;
        requestCount += 1;
        const headers = {
          [SEAL_HEADER]: '1',
          [REQUEST_ID_HEADER]: String(incoming.headers[REQUEST_ID_HEADER]),
        };
        response.writeHead(status, headers).end('whole');
      };
      for (const endpoint of endpoints) endpoint.handle = handle;
      t3.equal((await send(gateway, '/read/x', 'r1')).status, 200);
      t3.equal(countReceived('r1'), 2);
    },
  );

  await t2.test('a response with the id of another request is not forwarded', async (t3) => {
    for (const endpoint of endpoints) {
      endpoint.handle = (_incoming, response) => {
        response.writeHead(200, { [SEAL_HEADER]: '1', [REQUEST_ID_HEADER]: 'other' }).end('secret');
      };
    }
    const { status, text } = await send(gateway, '/claim/x', 'c2', 'pay');
    t3.equal(status, 502);
    t3.notMatch(text, 'secret');
  });

  await t2.test('a successful response without proof of origin is not forwarded', async (t3) => {
    for (const endpoint of endpoints) {
      endpoint.handle = (incoming, response) => {
        response
          .writeHead(200, { [REQUEST_ID_HEADER]: String(incoming.headers[REQUEST_ID_HEADER]) })
          .end('forged');
      };
    }
    t3.equal((await send(gateway, '/claim/x', 'c3', 'pay')).status, 502);
  });

  await t2.test('a request that every endpoint rejects is refused as not run', async (t3) => {
    for (const endpoint of endpoints) {
      endpoint.handle = (_incoming, response) => {
        response.writeHead(503, { 'x-not-run': '1' }).end();
      };
    }
    const { status, headers } = await send(gateway, '/claim/x', 'c4', 'pay');
    t3.equal(status, 503);
    t3.ok(headers['retry-after']);
  });

  // Guards against bytes without end from a faulty endpoint, which reached the caller until the time limit.
  for (const { name, status, headers, path, isFast } of [
    {
      name: 'rejection',
      status: 503,
      headers: { 'x-not-run': '1' },
      path: '/claim/x',
      isFast: true,
    },
    {
      name: 'slow rejection',
      status: 503,
      headers: { 'x-not-run': '1' },
      path: '/claim/x',
      isFast: false,
    },
    { name: 'failure', status: 500, headers: {}, path: '/read/x', isFast: true },
  ]) {
    await t2.test(`a ${name} whose body never ends is not forwarded`, async (t3) => {
      const writeWithoutEnd = (response: ServerResponse) => {
        if (response.destroyed) return;
        const bytes = isFast ? Buffer.alloc(65_536, 'x') : Buffer.from('x');
        response.write(bytes, () => setImmediate(() => writeWithoutEnd(response)));
      };
      let requestCount = 0;
      const handle: FakeEndpoint['handle'] = (incoming, response) => {
        requestCount += 1;
        const answerHeaders = {
          [SEAL_HEADER]: '1',
          [REQUEST_ID_HEADER]: String(incoming.headers[REQUEST_ID_HEADER]),
        };
        if (requestCount > 1) {
          response.writeHead(200, answerHeaders).end('whole');
          return;
        }
        response.writeHead(status, { ...answerHeaders, ...headers });
        writeWithoutEnd(response);
      };
      for (const endpoint of endpoints) endpoint.handle = handle;
      const body = path === '/claim/x' ? 'pay' : undefined;
      const answer = await send(gateway, path, name.replace(' ', '-'), body);
      t3.equal(answer.status, 200);
      t3.equal(answer.text, 'whole');
    });
  }

  await t2.test(
    'a broken stream is resumed at another endpoint after its last complete event',
    async (t3) => {
      const resumedFrom: string[] = [];
      for (const endpoint of endpoints) {
        endpoint.handle = (incoming, response) => {
          const last = Number(incoming.headers['last-event-id']);
          resumedFrom.push(String(last));
          const headers = {
            [SEAL_HEADER]: '1',
            [REQUEST_ID_HEADER]: String(incoming.headers[REQUEST_ID_HEADER]),
          };
          response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
          if (last === 0) {
            response.write('id: 1\ndata: a\n\nid: 2\nda', () => {
              setImmediate(() => incoming.socket.resetAndDestroy());
            });
          } else response.end('id: 2\ndata: b\n\nid: 3\ndata: c\n\n');
        };
      }
      const { status, text } = await send(gateway, '/stream/x', 's1', 'prompt');
      t3.equal(status, 200);
      t3.equal(text, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n');
      t3.strictSame(resumedFrom, ['0', '1']);
    },
  );

  await t2.test(
    'oversized bodies, oversized headers and unknown paths have distinct status codes',
    async (t3) => {
      t3.equal((await send(gateway, '/claim/x', 'b1', 'x'.repeat(101))).status, 413);
      t3.equal((await send(gateway, `/read/x`, 'h'.repeat(5_000))).status, 431);
      t3.equal((await send(gateway, '/unknown/x', 'u1')).status, 404);
    },
  );

  const draining = gateway.drain('test');
  await t2.test('a request during the drain period gets a complete response', async (t3) => {
    const { status, text, headers } = await send(gateway, '/read/x', 'd1');
    t3.equal(status, 200);
    t3.equal(text, 'whole');
    t3.equal(headers.connection, 'close');
  });
  await draining;
  for (const endpoint of endpoints) endpoint.stop();
});
