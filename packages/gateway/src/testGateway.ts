import { once } from 'node:events';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { createReceiveLimits } from '@lovagearch/bounded-http';
import type { Random } from '@lovagearch/common';
import type {
  EndpointRecord,
  HoldStatement,
  PromptPart,
  RateLimitStatement,
} from '@lovagearch/endpoints';
import type { MirroredRow, ReadResult } from '@lovagearch/mirror';
import type { Route, TrafficConfiguration } from '@lovagearch/traffic';
import { request } from 'undici';
import {
  type RequestHead,
  type Gateway,
  type GatewayDependencies,
  type GatewaySettings,
} from './index.js';
import { FakeSharedTable } from './testSharedTable.js';

const OPERATOR_TABLE = 'operator';
const ENDPOINT_TABLE = 'endpoints';
export const CONFIGURATION_KEY = 'configuration';
export const EVACUATION_PREFIX = 'evacuated/';
export const SEAL_HEADER = 'x-seal';
export const REQUEST_ID_HEADER = 'x-id';
export const PARTS_HEADER = 'x-parts';
export const LIMIT_HEADER = 'x-limit';
export const MODEL_HEADER = 'x-model';
export const ENDPOINT_HEADER = 'x-endpoint';
export const WEIGHTS_HEADER = 'x-weights';
export const LEAVING_HEADER = 'x-leaving';
export const LAST_EVENT_HEADER = 'last-event-id';
export const RESUMES_HEADER = 'x-resumes';
const KEY_HEADER = 'x-key';

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

export const CONFIGURATION: TrafficConfiguration = {
  version: 1,
  routes: [
    createRoute('read', {}),
    createRoute('quick', { targetLatencyMs: 200 }),
    createRoute('claim', { kind: 'non_idempotent', maxAttempts: 1 }),
    createRoute('stream', { kind: 'streaming', isResumable: true }),
    createRoute('other', { targets: [{ service: 'other', weight: 1 }] }),
    createRoute('generate', { kind: 'streaming', maxAttempts: 1, hasPromptParts: true }),
    createRoute('bulk', { kind: 'streaming', maxAttempts: 1, hasPromptParts: true, priority: 2 }),
  ],
  services: [
    { name: 'app', maxConnections: 100 },
    { name: 'other', maxConnections: 100 },
  ],
  cacheStores: [],
  limits: {
    maxHeaderBytes: 4_096,
    maxBodyBytes: 100,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 5_000,
  },
};

const STREAM_PREFIXES = CONFIGURATION.routes
  .filter(({ kind }) => kind === 'streaming')
  .map(({ prefix }) => prefix);

/** Endpoint with a replaceable handler that records the ids of the requests it receives. */
export class FakeEndpoint {
  readonly received: string[] = [];

  handle: (incoming: IncomingMessage, response: ServerResponse) => void = (incoming, response) => {
    const isStream = STREAM_PREFIXES.some((prefix) => incoming.url?.startsWith(prefix));
    response
      .writeHead(200, {
        [SEAL_HEADER]: '1',
        [REQUEST_ID_HEADER]: String(incoming.headers[REQUEST_ID_HEADER]),
        ...(isStream ? { 'content-type': 'text/event-stream' } : {}),
      })
      .end(isStream ? 'id: 1\ndata: whole\n\n' : 'whole');
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

  closeConnections(): void {
    this.server.closeAllConnections();
  }

  stop(): void {
    this.server.close();
    this.closeConnections();
  }
}

const decodeRateLimit = (text: string | undefined): RateLimitStatement =>
  text === undefined ? { type: 'none' } : { type: 'named', requestsPerS: Number(text) };

const decodeWeights = (text: string | undefined): number | undefined =>
  text === undefined ? undefined : Number(text);

const decodeHold = (text: string | undefined): HoldStatement =>
  text === undefined ? { type: 'none' } : { type: 'named', forS: Number(text) };

/** Decodes `ID:TOKENS,ID:TOKENS`. */
const decodeParts = (text: string | undefined): PromptPart[] =>
  (text ?? '')
    .split(',')
    .filter((entry) => entry !== '')
    .map((entry) => {
      const [id, tokens] = entry.split(':');
      return { id: id!, tokens: Number(tokens) };
    });

const getFirstValue = (value: string | string[] | undefined) =>
  Array.isArray(value) ? value[0] : value;

const getOnlyValue = (value: string | string[] | undefined) =>
  Array.isArray(value) ? undefined : value;

/** Name of the table that gateways share. */
const SHARED_TABLE = 'lovagearch';

/**
 * @param registrations table with the registrations of endpoints, if they change during the test
 * @param operator table of the operator, if it changes during the test; fields of a configuration replace the usual ones
 */
export const createDependencies = (
  rows: ReadonlyMap<string, readonly MirroredRow[]>,
  shared = new FakeSharedTable(),
  random: Random = Math.random,
  registrations?: FakeSharedTable,
  operator?: FakeSharedTable,
): GatewayDependencies => {
  const findChangingTable = (table: string): FakeSharedTable | undefined => {
    if (table === SHARED_TABLE) return shared;
    if (table === OPERATOR_TABLE) return operator;
    return table === ENDPOINT_TABLE ? registrations : undefined;
  };
  const readAll = async (table: string): Promise<ReadResult> =>
    findChangingTable(table)?.readAll() ?? {
      type: 'rows',
      batch: { rows: rows.get(table) ?? [], version: 1, isPartial: false, ageMs: 0 },
    };
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
          key: values.get(KEY_HEADER),
          timeLimitMs: 5_000,
          lastEventId: Number(values.get(LAST_EVENT_HEADER) ?? 0),
          resumedRequestId: values.get(RESUMES_HEADER),
          model: values.get(MODEL_HEADER),
          promptParts: decodeParts(values.get(PARTS_HEADER)),
          promptTokens: 0,
          maxOutputTokens: 0,
          forwardedHeaders: [
            'host',
            values.get('host') ?? '',
            REQUEST_ID_HEADER,
            values.get(REQUEST_ID_HEADER) ?? '',
            PARTS_HEADER,
            values.get(PARTS_HEADER) ?? '',
          ],
        };
        return { type: 'head', head };
      },
      encodeEndpointHeaders: (head, { lastEventId }) => [
        ...head.forwardedHeaders,
        LAST_EVENT_HEADER,
        String(lastEventId),
      ],
      decodeResponseHead: (status, headers) => ({
        status,
        requestId: getOnlyValue(headers[REQUEST_ID_HEADER]),
        hasOriginProof: headers[SEAL_HEADER] !== undefined,
        isNotRun: headers['x-not-run'] !== undefined,
        isMisdirected: headers['x-misdirected'] !== undefined,
        respondingEndpointId: getFirstValue(headers[ENDPOINT_HEADER]),
        load: undefined,
        rateLimit: decodeRateLimit(getFirstValue(headers[LIMIT_HEADER])),
        brittleness: { type: 'none' },
        leaving: { type: headers[LEAVING_HEADER] === undefined ? 'none' : 'leaving' },
        hold: decodeHold(getFirstValue(headers['retry-after'])),
        isEventStream: headers['content-type'] === 'text/event-stream',
        weightVersion: decodeWeights(getFirstValue(headers[WEIGHTS_HEADER])),
        callerHeaders: [SEAL_HEADER, getFirstValue(headers[SEAL_HEADER]) ?? ''],
      }),
    },
    rows: {
      operatorTable: OPERATOR_TABLE,
      endpointTable: ENDPOINT_TABLE,
      decodeConfiguration: (key, value) =>
        key === CONFIGURATION_KEY
          ? { type: 'value', value: { ...CONFIGURATION, ...JSON.parse(value) } }
          : { type: 'ignored' },
      decodeWeightTarget: () => ({ type: 'ignored' }),
      decodeEvacuation: (key) =>
        key.startsWith(EVACUATION_PREFIX)
          ? { type: 'value', value: key.slice(EVACUATION_PREFIX.length) }
          : { type: 'ignored' },
      decodeEndpoint: (_key, value) => ({
        type: 'value',
        value: { ...(JSON.parse(value) as EndpointRecord), weights: new Map() },
      }),
      decodeSharedValue: (value) => JSON.parse(value) as unknown,
    },
    tables: {
      readAll,
      readChanges: async (table, afterVersion, waitMs) => {
        const changing = findChangingTable(table);
        if (changing !== undefined) return changing.readChanges(afterVersion, waitMs);
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
    shared: {
      write: async (key, value) => {
        // Gateways under test listen on any port, so their announced addresses can't be used.
        if (!key.startsWith('peer/')) shared.write(key, value);
        return true;
      },
    },
    lease: {
      read: async () => ({ type: 'row', row: null }),
      write: async () => ({ type: 'unknown', reason: 'not used' }),
    },
    orders: {
      readReport: async () => undefined,
      sendOrder: async () => ({ type: 'rejected', reason: 'not used' }),
    },
    responseLimits: createReceiveLimits(),
    cacheStores: { readEvents: async () => undefined, freeParts: async () => false },
    random,
  };
};

const ANY_PORT = { host: '127.0.0.1', port: 0 };
export const SETTINGS: GatewaySettings = {
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
  isDemandAdmissionEnabled: true,
  isFirstStart: true,
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

/** Creates the registration of an endpoint, as its row holds it. */
export const createRegistration = (id: string, port: number, service = 'app') => ({
  id,
  startedUnixMs: 1,
  softwareVersion: 'v1',
  service,
  address: `127.0.0.1:${port}`,
  zone: 'z1',
  slots: 4,
  state: 'ready',
  warmupRemainingMs: 0,
  heartbeat: 1,
});

export const createRows = (ports: readonly number[]) => {
  const endpoints = ports.map((port, index): MirroredRow => {
    const registration = createRegistration(`i-${index}`, port);
    return { key: registration.id, version: 1, value: JSON.stringify(registration) };
  });
  return new Map([
    [OPERATOR_TABLE, [{ key: CONFIGURATION_KEY, version: 1, value: '{}' }]],
    [ENDPOINT_TABLE, endpoints],
  ]);
};

/** Sends a request to a gateway and reads the response; `text` is `cut` if the response is incomplete. */
export const send = async (
  gateway: Gateway,
  path: string,
  id: string,
  body?: string,
  parts?: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<{
  readonly status: number;
  readonly text: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}> => {
  const response = await request(`http://127.0.0.1:${gateway.callerPort}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: {
      host: 'a.example',
      [REQUEST_ID_HEADER]: id,
      ...(parts === undefined ? {} : { [PARTS_HEADER]: parts }),
      ...headers,
    },
    ...(body === undefined ? {} : { body }),
  });
  const text = await response.body.text().catch(() => 'cut');
  return { status: response.statusCode, text, headers: response.headers };
};

/** Waits until the gateway has applied its first configuration and endpoints. */
export const waitUntilReady = async (gateway: Gateway) => {
  for (;;) {
    const { status } = await send(gateway, '/read/x', 'ready');
    if (status === 200) return;
  }
};
