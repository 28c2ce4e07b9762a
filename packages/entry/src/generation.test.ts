import { request as sendHttp, type IncomingMessage } from 'node:http';
import { createHash } from 'node:crypto';
import { once } from 'node:events';
import {
  type AccountId,
  computeSha256Hex,
  createLogger,
  createRandom,
  Metrics,
  type NodeId,
  processClock,
  type Region,
  type ServiceId,
  toId,
  type WeightVersion,
  type ModelId,
  type Zone,
  type EndpointId,
} from '@lovagearch/common';
import type {
  EngineAddress,
  EngineClient,
  EngineError,
  EngineStream,
  GenerateChunk,
  GenerateRequest,
} from '@lovagearch/engine-client';
import { MemoryMesh, MemoryNetwork } from '@lovagearch/peering';
import type { ServiceClient } from '@lovagearch/service-client';
import { errAsync, okAsync } from 'neverthrow';
import t, { type Test } from 'tap';
import type { CallerConfiguration } from './callerConfiguration.js';
import { DistributedPromptIndex } from './distributedPromptIndex.js';
import {
  type EntryOptions,
  type EntryDependencies,
  type RunningEntry,
  startEntry,
} from './startEntry.js';
import {
  createAdmissionFake,
  createContainmentFake,
  createRunCoordinatorFake,
} from './testFakes.js';
import type { EndpointDirectory, EndpointView, PromptLocation } from './types.js';

const createIndex = (): DistributedPromptIndex => {
  const self = toId<NodeId>('node-1');
  const region = toId<Region>('south');
  return DistributedPromptIndex.create({
    mesh: MemoryMesh.create(self, MemoryNetwork.create()),
    region,
    listRegions: () => [region],
    listMembers: () => [self],
    getWatchers: () => [],
  });
};

type StreamValue = GenerateChunk | { readonly type: 'failed'; error: EngineError };
/** `hang` blocks until the connection is closed or `gate` resolves. */
type ScriptedChunk = StreamValue | { readonly type: 'hang'; readonly gate?: Promise<void> };

interface Connection {
  readonly url: string;
  readonly request: GenerateRequest;
  readonly afterSeq: number;
  /** Number of earlier connections to any runner. */
  readonly index: number;
}
type ConnectionScript = (connection: Connection) => ScriptedChunk[] | EngineError;

const LOAD = { queuedPromptTokens: 0, activeSequences: 0, cacheUse: 0, ageMs: 0 };
const USAGE = { promptTokens: 10, cachedTokens: 4, importedTokens: 1 };
const CONNECTION_LOST: EngineError = { type: 'connection_lost', message: 'reset' };
const NOT_CONNECTED: EngineError = { type: 'not_connected', message: 'refused' };
const WORD_COUNT = 6;

/** Words of the response from a position on; all runners generate the same words. */
const listWords = (from: number): string[] =>
  Array.from({ length: Math.max(0, WORD_COUNT - from) }, (_, index) => `w${from + index} `);
const FULL_TEXT = listWords(0).join('');

/** Complete, valid output of a connection. */
const createFullOutput = ({ request, afterSeq }: Connection): StreamValue[] => {
  const { streamId, weightVersion } = request;
  const from = (request.generatedText ?? '').split(' ').length - 1;
  const words = listWords(from);
  const tokens = words.map((text, index): StreamValue => ({
    type: 'token',
    streamId,
    seq: index + 1,
    text,
  }));
  return [
    { type: 'accepted', streamId, weightVersion, load: LOAD },
    ...tokens.slice(afterSeq),
    {
      type: 'done',
      streamId,
      seq: words.length + 1,
      chunks: words.length,
      sha256: createHash('sha256').update(words.join('')).digest('hex'),
      finishReason: 'stop',
      weightVersion,
      load: LOAD,
      usage: { ...USAGE, completionTokens: words.length },
    },
  ];
};

class FakeEngines implements EngineClient {
  readonly requests = new Map<string, GenerateRequest>();

  readonly connections: Connection[] = [];

  readonly cancelled: string[] = [];

  handleCancel: () => void = () => undefined;

  createOutput: ConnectionScript = createFullOutput;

  readonly generate = (address: EngineAddress, request: GenerateRequest) => {
    this.requests.set(request.streamId, request);
    return this.connect(address.url, request, 0);
  };

  readonly resume = (address: EngineAddress, streamId: string, afterSeq: number) => {
    const request = this.requests.get(streamId);
    if (request !== undefined) return this.connect(address.url, request, afterSeq);
    const reason = 'unknown_stream';
    return errAsync<EngineStream, EngineError>({
      type: 'refused',
      status: 404,
      reason,
      message: '',
    });
  };

  readonly cancel = (_address: EngineAddress, streamId: string) => {
    this.cancelled.push(streamId);
    this.handleCancel();
    return okAsync<void, EngineError>(undefined);
  };

  readonly readStatus = () => errAsync(NOT_CONNECTED);

  readonly readCacheEvents = () => errAsync(NOT_CONNECTED);

  readonly exportSegment = () => errAsync(NOT_CONNECTED);

  readonly sendOrder = () => errAsync(NOT_CONNECTED);

  readonly close = async () => undefined;

  private connect(url: string, request: GenerateRequest, afterSeq: number) {
    const connection = { url, request, afterSeq, index: this.connections.length };
    this.connections.push(connection);
    const scriptedChunks = this.createOutput(connection);
    if (!Array.isArray(scriptedChunks)) return errAsync<EngineStream, EngineError>(scriptedChunks);
    let close: () => void = () => undefined;
    const closed = new Promise<void>((resolve) => {
      close = resolve;
    });
    async function* readChunks(values: ScriptedChunk[]): AsyncGenerator<StreamValue> {
      for (const value of values) {
        if (value.type === 'hang') await Promise.race([closed, value.gate ?? closed]);
        else yield value;
      }
      yield { type: 'failed', error: CONNECTION_LOST };
    }
    return okAsync<EngineStream, EngineError>({ chunks: readChunks(scriptedChunks), close });
  }
}

const KEY = 'caller-key';
const OTHER_KEY = 'other-key';
const OPERATOR_KEY = 'operator-key';
const MODEL_SERVICE = toId<ServiceId>('rota');

const createAccount = (name: string, services: string[]) => ({
  id: toId<AccountId>(name),
  services: services.map((service) => toId<ServiceId>(service)),
  defaultClass: 'standard' as const,
});
const ACCOUNTS = new Map([
  [computeSha256Hex(KEY), createAccount('zamu', ['rota'])],
  [computeSha256Hex(OTHER_KEY), createAccount('other', ['rota'])],
  [computeSha256Hex('no-service-key'), createAccount('none', [])],
]);
const MODEL = {
  id: toId<ModelId>('roster-8b'),
  service: MODEL_SERVICE,
  weightVersion: toId<WeightVersion>('v1'),
};
const SERVICE = {
  type: 'model' as const,
  id: MODEL_SERVICE,
  checksCaller: true,
  kvBytesPerToken: 1_024,
  prefillTokensPerSecond: 8_000,
  storeBytesPerSecond: 20_000_000,
  policy: { ttftWeight: 1, recomputeWeight: 0.05, linkWeight: 0.001 },
};
const CONFIGURATION: CallerConfiguration = {
  isLoaded: () => true,
  findAccountByKeyHash: (hash) => ACCOUNTS.get(hash),
  findService: (name) => (name === 'rota' ? SERVICE : undefined),
  findModel: (name) => (name === MODEL.id ? MODEL : undefined),
  listModels: () => [MODEL],
  listServices: () => [SERVICE],
};

const createRunner = (name: string): EndpointView => ({
  id: toId<EndpointId>(name),
  service: MODEL_SERVICE,
  kind: 'runner',
  url: `http://${name}`,
  region: toId<Region>('south'),
  zone: toId<Zone>('chiayi'),
  state: 'ready',
  models: [{ model: MODEL.id, weightVersion: MODEL.weightVersion }],
  load: LOAD,
  boot: 'boot-1',
  confirmedAgeMs: 0,
});
const RUNNERS = [createRunner('runner-1'), createRunner('runner-2')];
const DIRECTORY: EndpointDirectory = {
  listEndpoints: () => RUNNERS,
  listStores: () => [],
  getEndpoint: (id) => RUNNERS.find((runner) => runner.id === id),
  updateLoad: () => undefined,
  reportResponse: () => undefined,
  reportFailure: () => undefined,
  markLeaving: () => undefined,
  verifyReady: async () => true,
};
const NO_SERVICES: ServiceClient = {
  send: () => errAsync({ type: 'not_connected', message: '' }),
  readHealth: () => errAsync({ type: 'not_connected', message: '' }),
  close: async () => undefined,
};
const READERS = {
  configuration: () => ({}),
  members: () => ({}),
  endpoints: () => ({}),
  stores: () => ({}),
  accounts: () => ({}),
  runs: () => ({}),
  quarantine: () => ({}),
};
const MAX_BODY_BYTES = 65_536;

const startTestEntry = async (
  test: Test,
  engines: FakeEngines,
  options: Partial<EntryOptions> = {},
  parts: Partial<EntryDependencies> = {},
): Promise<RunningEntry> => {
  const entry = await startEntry(
    {
      host: '127.0.0.1',
      callerPort: 0,
      adminPort: 0,
      clusterKey: 'cluster-key',
      serviceToken: 'service-token',
      operatorKeySha256: [computeSha256Hex(OPERATOR_KEY)],
      maxBodyBytes: MAX_BODY_BYTES,
      drainLimitMs: 60_000,
      drainIdleMs: 0,
      ...options,
    },
    {
      identity: {
        id: toId<NodeId>('node-1'),
        region: toId<Region>('south'),
        zone: toId<Zone>('chiayi'),
      },
      clock: processClock,
      random: createRandom(1),
      log: createLogger('error'),
      metrics: Metrics.create(),
      configuration: CONFIGURATION,
      engines,
      services: NO_SERVICES,
      directory: DIRECTORY,
      index: createIndex(),
      runs: createRunCoordinatorFake(),
      admission: createAdmissionFake(),
      containment: createContainmentFake(),
      readers: READERS,
      backgroundComponents: [],
      ...parts,
    },
  );
  test.teardown(() => entry.stop());
  return entry;
};

interface CallOptions {
  readonly path?: string;
  readonly key?: string;
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: unknown;
}

const open = async (port: number, options: CallOptions): Promise<IncomingMessage> => {
  const { body } = options;
  const call = sendHttp({
    host: '127.0.0.1',
    port,
    path: options.path ?? '/v1/completions',
    method: options.method ?? 'POST',
    agent: false,
    headers: { authorization: `Bearer ${options.key ?? KEY}`, ...options.headers },
  });
  call.end(typeof body === 'string' || body === undefined ? body : JSON.stringify(body));
  const [response] = (await once(call, 'response')) as [IncomingMessage];
  return response;
};

const readText = async (response: IncomingMessage): Promise<string> => {
  let text = '';
  for await (const piece of response) text += String(piece);
  return text;
};

const call = async (port: number, options: CallOptions) => {
  const response = await open(port, options);
  return { status: response.statusCode, headers: response.headers, text: await readText(response) };
};

const REQUEST_BODY = { model: 'roster-8b', prompt: 'Who swaps on Friday?', max_tokens: WORD_COUNT };
const STREAMED_BODY = { ...REQUEST_BODY, stream: true };

/** Extracts the event ids, the text and the kind of ending from an SSE body. */
const parseSse = (body: string) => {
  const ids = [...body.matchAll(/^id: (.*)$/gm)].map((match) => match[1]!);
  const data = [...body.matchAll(/^data: (\{.*)$/gm)].map(
    (match) => JSON.parse(match[1]!) as { choices?: { text: string }[] },
  );
  const text = data.map(({ choices }) => choices?.[0]?.text ?? '').join('');
  return {
    ids,
    text,
    isDone: body.includes('data: [DONE]'),
    hasError: body.includes('event: error'),
  };
};

const getErrorBody = (text: string) =>
  (JSON.parse(text) as { error: { type: string; message: string; run: string } }).error;

t.test('a response without streaming contains the complete text and usage', async (test) => {
  const { callerPort } = await startTestEntry(test, new FakeEngines());
  const answer = await call(callerPort, {
    body: REQUEST_BODY,
    headers: { 'x-request-id': 'mine-1' },
  });
  test.equal(answer.status, 200);
  test.equal(answer.headers['x-request-id'], 'mine-1');
  test.match(JSON.parse(answer.text), {
    choices: [{ text: FULL_TEXT, finish_reason: 'stop' }],
    usage: { prompt_tokens: 10, prompt_tokens_details: { cached_tokens: 4, imported_tokens: 1 } },
  });
});

t.test('a lost connection neither drops nor repeats a token', async (test) => {
  const engines = new FakeEngines();
  engines.createOutput = (connection) =>
    connection.index === 0
      ? createFullOutput(connection).slice(0, 3)
      : createFullOutput(connection);
  const { callerPort } = await startTestEntry(test, engines);
  const { text, isDone } = parseSse((await call(callerPort, { body: STREAMED_BODY })).text);
  test.equal(text, FULL_TEXT);
  test.ok(isDone);
  test.strictSame(
    engines.connections.map(({ afterSeq }) => afterSeq),
    [0, 2],
  );
});

t.test(
  'a response continues on another runner after a runner failure, and can be resumed',
  async (test) => {
    const engines = new FakeEngines();
    let lostUrl = '';
    engines.createOutput = (connection) => {
      if (connection.index === 0) lostUrl = connection.url;
      if (connection.index === 0) return createFullOutput(connection).slice(0, 3);
      return connection.url === lostUrl ? NOT_CONNECTED : createFullOutput(connection);
    };
    const entry = await startTestEntry(test, engines);
    const other = await startTestEntry(test, engines);
    const { text, isDone, ids } = parseSse(
      (await call(entry.callerPort, { body: STREAMED_BODY })).text,
    );
    test.equal(text, FULL_TEXT);
    test.ok(isDone);
    test.equal(engines.connections[2]?.request.generatedText, 'w0 w1 ');
    test.equal(engines.connections[2]?.request.maxTokens, WORD_COUNT - 2);
    const headers = { 'last-event-id': ids[3]! };
    const resumed = parseSse((await call(other.callerPort, { body: STREAMED_BODY, headers })).text);
    test.equal(resumed.text, 'w4 w5 ', 'event ids after the switch refer to the new stream');
    test.ok(resumed.isDone);
  },
);

t.test(
  'a response completes although runners send chunks of other streams for a while',
  async (test) => {
    const engines = new FakeEngines();
    engines.createOutput = (connection) => {
      const chunks = createFullOutput(connection);
      const foreign = { type: 'token' as const, streamId: 'foreign', seq: 1, text: 'foreign ' };
      return connection.index < 9 ? [...chunks.slice(0, 1), foreign] : chunks;
    };
    const { callerPort } = await startTestEntry(test, engines);
    const { text, isDone } = parseSse((await call(callerPort, { body: STREAMED_BODY })).text);
    test.equal(text, FULL_TEXT);
    test.ok(isDone);
  },
);

t.test('a response with a wrong checksum never ends in [DONE]', async (test) => {
  const engines = new FakeEngines();
  engines.createOutput = (connection) =>
    createFullOutput(connection).map((chunk) =>
      chunk.type === 'done' ? { ...chunk, sha256: '0'.repeat(64) } : chunk,
    );
  const { callerPort } = await startTestEntry(test, engines);
  const streamed = parseSse((await call(callerPort, { body: STREAMED_BODY })).text);
  test.notOk(streamed.isDone);
  test.ok(streamed.hasError);
  const whole = await call(callerPort, { body: REQUEST_BODY });
  test.equal(whole.status, 502);
  test.match(getErrorBody(whole.text), { type: 'stream_lost', run: 'unknown' });
});

t.test('no output of another weight version is forwarded to a caller', async (test) => {
  const engines = new FakeEngines();
  let wrongUrl: string | undefined;
  engines.createOutput = (connection) => {
    wrongUrl ??= connection.url;
    if (connection.url !== wrongUrl) return createFullOutput(connection);
    const request = { ...connection.request, weightVersion: 'v0' };
    return createFullOutput({ ...connection, request });
  };
  const { callerPort } = await startTestEntry(test, engines);
  const { text, isDone } = parseSse((await call(callerPort, { body: STREAMED_BODY })).text);
  test.equal(text, FULL_TEXT);
  test.ok(isDone);
  test.equal(engines.cancelled.length, 1, 'the stream with the wrong version is cancelled');
});

t.test(
  'a request planned with an outdated view is served with the new weight version',
  async (test) => {
    const engines = new FakeEngines();
    engines.createOutput = (connection) =>
      connection.request.weightVersion === 'v2'
        ? createFullOutput(connection)
        : { type: 'refused', status: 409, reason: 'wrong_version', message: '' };
    let version = MODEL.weightVersion;
    let runners = RUNNERS;
    const handleVerified = async () => {
      version = toId<WeightVersion>('v2');
      const models = [{ model: MODEL.id, weightVersion: version }];
      runners = RUNNERS.map((runner) => ({ ...runner, models }));
      return true;
    };
    const findModel = (name: string) =>
      name === MODEL.id ? { ...MODEL, weightVersion: version } : undefined;
    const { callerPort } = await startTestEntry(
      test,
      engines,
      {},
      {
        configuration: { ...CONFIGURATION, findModel },
        directory: { ...DIRECTORY, listEndpoints: () => runners, verifyReady: handleVerified },
      },
    );
    const { text, isDone } = parseSse((await call(callerPort, { body: STREAMED_BODY })).text);
    test.equal(text, FULL_TEXT);
    test.ok(isDone);
  },
);

// Guards against an outdated view that is never refreshed: each request then fails on the same
// view, and all are refused once the retry budget is used up.
t.test(
  'a refused weight version refreshes the endpoint view even if no retry is left',
  async (test) => {
    const engines = new FakeEngines();
    engines.createOutput = () => ({
      type: 'refused',
      status: 409,
      reason: 'wrong_version',
      message: '',
    });
    const verified: string[] = [];
    const handleVerified = async (id: EndpointId) => {
      verified.push(id);
      return true;
    };
    const { callerPort } = await startTestEntry(
      test,
      engines,
      {},
      {
        admission: { ...createAdmissionFake(), tryTakeRetry: () => false },
        directory: { ...DIRECTORY, verifyReady: handleVerified },
      },
    );
    const refused = await call(callerPort, { body: REQUEST_BODY });
    test.match(getErrorBody(refused.text), { type: 'no_endpoint', run: 'not_run' });
    test.equal(verified.length, 1);
  },
);

t.test('not_run is returned only if every runner provably refused the request', async (test) => {
  const engines = new FakeEngines();
  const { callerPort } = await startTestEntry(test, engines);
  engines.createOutput = () => NOT_CONNECTED;
  const unreached = await call(callerPort, { body: REQUEST_BODY });
  test.match(getErrorBody(unreached.text), { type: 'no_endpoint', run: 'not_run' });
  const reason = 'queue_full';
  engines.createOutput = () => ({ type: 'refused', status: 429, reason, message: '' });
  const full = await call(callerPort, { body: REQUEST_BODY });
  test.match(getErrorBody(full.text), { type: 'overloaded', run: 'not_run' });
  test.equal(full.headers['retry-after'], '1');
  engines.createOutput = () => CONNECTION_LOST;
  const lost = await call(callerPort, { body: REQUEST_BODY });
  test.match(getErrorBody(lost.text), { type: 'endpoint_failed', run: 'unknown' });
});

t.test(
  'a prompt that is quarantined after crashing a runner is not sent to another runner',
  async (test) => {
    const engines = new FakeEngines();
    engines.createOutput = ({ afterSeq, index }) =>
      index === 0 && afterSeq === 0 ? CONNECTION_LOST : NOT_CONNECTED;
    let hasCrashed = false;
    const error = { type: 'request_quarantined', message: '', run: 'not_run' } as const;
    const containment: EntryDependencies['containment'] = {
      check: () => (hasCrashed ? { type: 'quarantined', error } : { type: 'clear' }),
      recordStart: () => undefined,
      recordOutput: () => undefined,
      recordEnd: (_endpoint, _fingerprint, outcome) => {
        hasCrashed ||= outcome === 'crashed';
      },
    };
    const { callerPort } = await startTestEntry(test, engines, {}, { containment });
    const { text } = await call(callerPort, { body: REQUEST_BODY });
    test.match(getErrorBody(text), { type: 'request_quarantined', run: 'unknown' });
    test.equal(new Set(engines.connections.map(({ url }) => url)).size, 1);
  },
);

// Guards against a quarantine of requests that were lost on connections which had fallen silent.
t.test('a request that never reached a silent runner is not counted as a crash', async (test) => {
  const engines = new FakeEngines();
  const reason = 'unknown_stream';
  engines.createOutput = (connection) => {
    const isFirstRunner = connection.url === engines.connections[0]?.url;
    if (!isFirstRunner) return createFullOutput(connection);
    return connection.index === 0
      ? { type: 'silent', silentMs: 1_000 }
      : { type: 'refused', status: 404, reason, message: '' };
  };
  const outcomes: string[] = [];
  const containment: EntryDependencies['containment'] = {
    check: () => ({ type: 'clear' }),
    recordStart: () => undefined,
    recordOutput: () => undefined,
    recordEnd: (_endpoint, _fingerprint, outcome) => outcomes.push(outcome),
  };
  const { callerPort } = await startTestEntry(test, engines, {}, { containment });
  const { status } = await call(callerPort, { body: REQUEST_BODY });
  test.equal(status, 200, 'another runner serves it');
  test.strictSame(outcomes, ['other', 'completed']);
});

t.test(
  'a resume token is accepted by every node of the cluster, but only for its own request',
  async (test) => {
    const engines = new FakeEngines();
    const first = await startTestEntry(test, engines);
    const second = await startTestEntry(test, engines);
    const otherCluster = await startTestEntry(test, engines, { clusterKey: 'another-cluster' });
    const { ids } = parseSse((await call(first.callerPort, { body: STREAMED_BODY })).text);
    const headers = { 'last-event-id': ids[1]! };
    const resumed = parseSse(
      (await call(second.callerPort, { body: STREAMED_BODY, headers })).text,
    );
    test.equal(resumed.text, 'w2 w3 w4 w5 ');
    test.ok(resumed.isDone);
    const refusals: [number, CallOptions][] = [
      [second.callerPort, { body: STREAMED_BODY, headers, key: OTHER_KEY }],
      [second.callerPort, { body: { ...STREAMED_BODY, prompt: 'another prompt' }, headers }],
      [second.callerPort, { body: STREAMED_BODY, headers: { 'last-event-id': `${ids[1]!}x` } }],
      [otherCluster.callerPort, { body: STREAMED_BODY, headers }],
    ];
    for (const [port, options] of refusals) {
      const refused = await call(port, options);
      test.equal(refused.status, 400);
      test.match(getErrorBody(refused.text), { type: 'resume_invalid', run: 'not_run' });
    }
  },
);

t.test(
  'the stream of a caller is cancelled after the caller disconnects, and not before',
  async (test) => {
    const engines = new FakeEngines();
    engines.createOutput = (connection) => [
      ...createFullOutput(connection).slice(0, 3),
      { type: 'hang' },
    ];
    const cancelled = new Promise<void>((resolve) => {
      engines.handleCancel = resolve;
    });
    const { callerPort } = await startTestEntry(test, engines, { resumeGraceMs: 1 });
    const response = await open(callerPort, { body: STREAMED_BODY });
    await once(response, 'data');
    test.equal(engines.cancelled.length, 0);
    response.destroy();
    await cancelled;
    test.equal(engines.cancelled.length, 1);
  },
);

t.test('a caller that stops reading is disconnected and its buffer stays bounded', async (test) => {
  const engines = new FakeEngines();
  const progress = { tokens: 0 };
  // The events exceed the socket buffers of both sides by far.
  const total = 32_768;
  engines.createOutput = (connection) => {
    const { streamId } = connection.request;
    const tokens = Array.from({ length: total }, (_, index) => ({
      type: 'token' as const,
      streamId,
      seq: index + 1,
      get text() {
        progress.tokens = index + 1;
        return 'x';
      },
    }));
    return [...createFullOutput(connection).slice(0, 1), ...tokens];
  };
  const cancelled = new Promise<void>((resolve) => {
    engines.handleCancel = resolve;
  });
  const sse = { stallLimitMs: 50, bufferBytes: 1_024 };
  const entry = await startTestEntry(test, engines, { resumeGraceMs: 1, sse });
  const response = await open(entry.callerPort, { body: { ...STREAMED_BODY, max_tokens: total } });
  response.on('error', () => undefined);
  response.pause();
  await cancelled;
  test.ok(progress.tokens < total, `${progress.tokens} tokens were read ahead of the caller`);
  const path = '/v1/decisions';
  const shown = await call(entry.adminPort, { path, method: 'GET', key: OPERATOR_KEY });
  test.match(shown.text, '"reason":"stalled"');
  response.destroy();
});

t.test('a slow caller receives all tokens', async (test) => {
  const engines = new FakeEngines();
  const { callerPort } = await startTestEntry(test, engines, { sse: { bufferBytes: 1 } });
  const total = 2_000;
  engines.createOutput = ({ request }) => {
    const { streamId } = request;
    const tokens = Array.from({ length: total }, (_, index) => ({
      type: 'token' as const,
      streamId,
      seq: index + 1,
      text: 'x',
    }));
    const [accepted, ...rest] = createFullOutput({ request, url: '', afterSeq: 0, index: 0 });
    const done = rest[rest.length - 1]!;
    if (done.type !== 'done') throw new Error('the last chunk is not `done`');
    const sha256 = computeSha256Hex('x'.repeat(total));
    return [accepted!, ...tokens, { ...done, seq: total + 1, chunks: total, sha256 }];
  };
  const received = await call(callerPort, { body: { ...STREAMED_BODY, max_tokens: total } });
  const { text, isDone } = parseSse(received.text);
  test.equal(text.length, total);
  test.ok(isDone);
});

t.test(
  'malformed and forbidden requests get typed JSON errors without a runner call',
  async (test) => {
    const engines = new FakeEngines();
    const { callerPort } = await startTestEntry(test, engines);
    const cases: [CallOptions, number, string, RegExp][] = [
      [{ body: '{"model":' }, 400, 'bad_json', /JSON/],
      [{ body: { ...REQUEST_BODY, max_tokens: 'many' } }, 400, 'bad_request', /max_tokens/],
      [{ body: { ...REQUEST_BODY, prompt: 7 } }, 400, 'bad_request', /prompt/],
      [{ body: '"text"' }, 400, 'bad_request', /body/],
      [{ body: { ...REQUEST_BODY, model: 'none' } }, 404, 'unknown_model', /none/],
      [{ body: REQUEST_BODY, key: 'wrong' }, 401, 'unauthorized', /key/],
      [{ body: REQUEST_BODY, key: 'no-service-key' }, 403, 'forbidden', /rota/],
      [{ body: 'x'.repeat(MAX_BODY_BYTES + 1) }, 413, 'body_too_large', /limit/],
      [{ path: '/v2/none', method: 'GET' }, 404, 'not_found', /path/],
      [{ path: '/services/none/x', method: 'GET' }, 404, 'not_found', /none/],
      [{ path: '/services/%zz/x', method: 'GET' }, 400, 'bad_request', /./],
    ];
    for (const [options, status, type, message] of cases) {
      const refused = await call(callerPort, options);
      test.equal(refused.status, status, type);
      test.match(getErrorBody(refused.text), { type, message, run: 'not_run' });
      test.ok(refused.headers['x-request-id']);
    }
    test.equal(engines.connections.length, 0);
    const tolerated = await call(callerPort, {
      body: { ...REQUEST_BODY, top_p: 1, logit_bias: {} },
    });
    test.equal(tolerated.status, 200, 'unknown request fields are ignored');
  },
);

t.test('a drain lets running streams complete', async (test) => {
  const engines = new FakeEngines();
  let openGate: () => void = () => undefined;
  const gate = new Promise<void>((resolve) => {
    openGate = resolve;
  });
  engines.createOutput = (connection) => {
    const chunks = createFullOutput(connection);
    if (connection.index > 0) return chunks;
    return [...chunks.slice(0, 2), { type: 'hang', gate }, ...chunks.slice(2)];
  };
  const entry = await startTestEntry(test, engines);
  const running = await open(entry.callerPort, { body: STREAMED_BODY });
  let hasStopped = false;
  const stopping = entry.stop().then(() => {
    hasStopped = true;
  });
  const ready = await call(entry.callerPort, { path: '/readyz', method: 'GET' });
  test.equal(ready.status, 503);
  test.equal(ready.headers.connection, 'close');
  test.equal((await call(entry.callerPort, { path: '/healthz', method: 'GET' })).status, 200);
  const served = parseSse((await call(entry.callerPort, { body: STREAMED_BODY })).text);
  test.ok(
    served.isDone,
    'new requests are served during a drain until the load balancer stops sending them',
  );
  test.notOk(hasStopped);
  openGate();
  const finished = parseSse(await readText(running));
  test.equal(finished.text, FULL_TEXT);
  test.ok(finished.isDone);
  await stopping;
});

t.test('the administration API requires an operator key', async (test) => {
  const { callerPort, adminPort } = await startTestEntry(test, new FakeEngines());
  await call(callerPort, { body: STREAMED_BODY, headers: { 'x-request-id': 'seen-1' } });
  const path = '/v1/decisions?request_id=seen-1';
  test.equal((await call(adminPort, { path, method: 'GET' })).status, 401);
  const shown = await call(adminPort, { path, method: 'GET', key: OPERATOR_KEY });
  test.equal(shown.status, 200);
  for (const type of ['accepted', 'chosen', 'completed']) test.match(shown.text, `"${type}"`);
  test.notMatch(shown.text, REQUEST_BODY.prompt, 'prompts never appear in decisions');
});

t.test('under random stream faults, no caller receives a wrong or repeated token', async (test) => {
  const seed = Number(process.env.SEED ?? Math.floor(Math.random() * 2 ** 31));
  const random = createRandom(seed);
  const engines = new FakeEngines();
  engines.createOutput = (connection) => {
    const chunks = createFullOutput(connection);
    const at = 1 + Math.floor(random() * chunks.length);
    const foreign = { type: 'token' as const, streamId: 'foreign', seq: at, text: 'foreign ' };
    const faults: (() => ScriptedChunk[] | EngineError)[] = [
      () => chunks,
      () => chunks,
      () => chunks.slice(0, at),
      () => [...chunks.slice(0, at), foreign, ...chunks.slice(at)],
      () => [...chunks.slice(0, at), ...chunks.slice(at + 1)],
      () => [...chunks.slice(0, at), ...chunks.slice(Math.max(0, at - 1))],
      () => NOT_CONNECTED,
      () => CONNECTION_LOST,
    ];
    return faults[Math.floor(random() * faults.length)]!();
  };
  const { callerPort } = await startTestEntry(test, engines);
  let completed = 0;
  for (let run = 0; run < 200; run++) {
    const { text } = await call(callerPort, { body: STREAMED_BODY });
    const { isDone, text: received } = parseSse(text);
    if (isDone) completed += 1;
    const isRight = isDone ? received === FULL_TEXT : FULL_TEXT.startsWith(received);
    if (!isRight) test.fail(`seed ${seed}, run ${run}: received ${JSON.stringify(received)}`);
  }
  test.ok(completed > 0, `seed ${seed}: some responses complete`);
});

t.test('an imported segment is reported as used to its store VM', async (test) => {
  const store = { id: toId<EndpointId>('store-1'), url: 'http://store-1', isLive: true };
  const { region, zone } = RUNNERS[0]!;
  const segment = { kind: 'store', holder: store.id, region, depth: 32, tailKey: 'segment-1' };
  const reports: unknown[] = [];
  const index = {
    lookup: async () => [{ ...segment, sha256: 'a'.repeat(64), boot: '' } as PromptLocation],
    reportPlacement: () => undefined,
    removeLocation: () => undefined,
    reportImport: (...report: unknown[]) => reports.push(report),
  };
  const directory = { ...DIRECTORY, listStores: () => [{ ...store, region, zone }] };
  const { callerPort } = await startTestEntry(test, new FakeEngines(), {}, { index, directory });
  await call(callerPort, { body: { ...REQUEST_BODY, prompt: 'x'.repeat(32 * 256) } });
  test.same(reports, [['store-1', 'segment-1']]);
});
