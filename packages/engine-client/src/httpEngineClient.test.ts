import { BLOCK_BYTES, computeSha256Hex } from '@lovagearch/common';
import {
  applyFaults,
  computeExpectedText,
  getError,
  getStandinFile,
  getValue,
  readControl,
  startProcess,
} from '@lovagearch/standins';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import t from 'tap';
import { HttpEngineClient } from './httpEngineClient.js';
import type { EngineStream } from './engineClient.js';
import type { EngineAddress, EngineError, GenerateChunk, GenerateRequest } from './types.js';

const MODEL = { model: 'crop-8b', weightVersion: 'v1' };

type Chunk = GenerateChunk | { readonly type: 'failed'; error: EngineError };

/** Creates arbitrary block keys; the engine stand-in only compares them. */
const createBlockKeys = (prompt: string): string[] => {
  const keys: string[] = [];
  for (let end = BLOCK_BYTES; end <= Buffer.byteLength(prompt); end += BLOCK_BYTES) {
    keys.push(computeSha256Hex(`v1/${prompt.slice(0, end)}`).slice(0, 32));
  }
  return keys;
};

let lastId = 0;
const createRequest = (changes: Partial<GenerateRequest> = {}): GenerateRequest => {
  lastId += 1;
  const prompt = changes.prompt ?? 'short prompt';
  return {
    requestId: `request-${lastId}`,
    streamId: `stream-${lastId}`,
    account: 'a',
    ...MODEL,
    prompt,
    blockKeys: createBlockKeys(prompt),
    priority: 1,
    maxTokens: 8,
    seed: 7,
    ...changes,
  };
};

const startEngine = async (options: object = {}) =>
  startProcess(getStandinFile('engine'), {
    id: 'engine-1',
    models: [MODEL],
    stepMs: 2,
    eventLagMs: 0,
    eventLossRate: 0,
    loadLagMs: 0,
    loadWeightsMs: 1,
    ...options,
  });

const collectChunks = async (stream: EngineStream): Promise<Chunk[]> => {
  const chunks: Chunk[] = [];
  for await (const chunk of stream.chunks) chunks.push(chunk);
  return chunks;
};

const joinText = (chunks: readonly Chunk[]): string =>
  chunks.map((chunk) => (chunk.type === 'token' ? chunk.text : '')).join('');

const engine = await startEngine();
const address: EngineAddress = { url: engine.url() };
const client = HttpEngineClient.create();
t.teardown(async () => {
  await client.close();
  engine.kill();
  await engine.waitForExit();
});

t.beforeEach(async () => applyFaults(engine, {}));

const generateChunks = async (request: GenerateRequest, client2 = client): Promise<Chunk[]> =>
  collectChunks(getValue(await client2.generate(address, request)));

t.test('a response is complete and generated from its own prompt', async (t2) => {
  const request = createRequest();
  const chunks = await generateChunks(request);
  const text = computeExpectedText(request);
  t2.equal(joinText(chunks), text);
  t2.equal(chunks[0]?.type, 'accepted');
  const sha256 = computeSha256Hex(text);
  t2.match(chunks.at(-1), { type: 'done', seq: 9, chunks: 8, sha256, finishReason: 'length' });
});

t.test('a continuation of generated text equals the rest of the full text', async (t2) => {
  const fullRequest = createRequest();
  const generatedText = joinText(await generateChunks({ ...fullRequest, maxTokens: 3 }));
  const rest = createRequest({ generatedText, maxTokens: 5 });
  t2.equal(generatedText + joinText(await generateChunks(rest)), computeExpectedText(fullRequest));
});

t.test('a repeated prompt is served from the prefix cache', async (t2) => {
  const prompt = 'p'.repeat(1_100);
  await generateChunks(createRequest({ prompt }));
  const chunks = await generateChunks(createRequest({ prompt }));
  t2.match(chunks.at(-1), { usage: { promptTokens: 275, cachedTokens: 256, importedTokens: 0 } });
  const boot = getValue(await client.readStatus(address));
  const page = await client.readCacheEvents(address, { boot: boot.boot, seq: 0 });
  const tailKey = createBlockKeys(prompt).at(-1);
  t2.match(getValue(page).events, [{ type: 'stored', tailKey, depth: 4 }]);
});

/** Resumes a stream until it is complete; returns the text and the failures in between. */
const collectWithResume = async (request: GenerateRequest, first: Chunk[]) => {
  const failures: string[] = [];
  let chunks = first;
  let text = joinText(chunks);
  for (;;) {
    const last = chunks.at(-1);
    if (last?.type !== 'failed') return { text, failures, last };
    failures.push(last.error.type);
    const afterSeq = text.length / 4;
    const resumed = await client.resume(address, request.streamId, afterSeq);
    chunks = await collectChunks(getValue(resumed));
    text += joinText(chunks);
  }
};

t.test('an idle connection is closed, and the stream resumes on a new one', async (t2) => {
  const shortTimeoutClient = HttpEngineClient.create({ streamIdleTimeoutMs: 500 });
  await applyFaults(engine, { silentAfterSeq: 3 });
  const request = createRequest();
  const { text, failures } = await collectWithResume(
    request,
    await generateChunks(request, shortTimeoutClient),
  );
  t2.same(failures, ['silent']);
  t2.equal(text, computeExpectedText(request));
  await shortTimeoutClient.close();
});

t.test('a stream resumed after a lost connection has no missing or repeated tokens', async (t2) => {
  await applyFaults(engine, { dropConnectionAfterSeq: 5 });
  const request = createRequest();
  const { text, failures, last } = await collectWithResume(request, await generateChunks(request));
  t2.same(failures, ['connection_lost']);
  t2.equal(text, computeExpectedText(request));
  t2.match(last, { type: 'done', chunks: 8 });
});

t.test('chunks of another stream are rejected', async (t2) => {
  const other = createRequest({ maxTokens: 100, prompt: 'another prompt' });
  const otherStream = getValue(await client.generate(address, other));
  for await (const chunk of otherStream.chunks) if (chunk.type === 'token') break;
  await applyFaults(engine, { crossAnswers: true, slowFactor: 50 });
  const request = createRequest();
  const chunks = await generateChunks(request);
  t2.match(chunks.at(-1), { type: 'failed', error: { type: 'protocol_violation' } });
  t2.equal(joinText(chunks), '');
  await applyFaults(engine, {});
  t2.ok((await client.cancel(address, other.streamId)).isOk());
  t2.equal((await collectWithResume(request, chunks)).text, computeExpectedText(request));
});

t.test('a repeated chunk is rejected', async (t2) => {
  await applyFaults(engine, { repeatChunks: true });
  const chunks = await generateChunks(createRequest());
  t2.match(chunks.at(-1), { type: 'failed', error: { type: 'protocol_violation' } });
  t2.equal(chunks.filter(({ type }) => type === 'token').length, 1);
});

t.test('a refusal is reported as such, with the load if the engine sent it', async (t2) => {
  await applyFaults(engine, { refuse: 'queue_full' });
  const refused = getError(await client.generate(address, createRequest()));
  t2.match(refused, { type: 'refused', status: 429, reason: 'queue_full', load: { ageMs: 0 } });
  await applyFaults(engine, {});
  const stale = await client.generate(address, createRequest({ weightVersion: 'v0' }));
  t2.match(getError(stale), { type: 'refused', status: 409, reason: 'wrong_version' });
  const unknown = getError(await client.resume(address, 'none', 0));
  t2.match(unknown, { type: 'refused', status: 404, reason: 'unknown_stream' });
});

t.test('a crash of the engine during a prompt is reported as a lost connection', async (t2) => {
  const crashingEngine = await startEngine({ faults: { crashOnPromptContaining: 'poison' } });
  const request = createRequest({ prompt: 'a poison prompt' });
  const accepted = await client.generate({ url: crashingEngine.url() }, request);
  const last = accepted.isOk() ? (await collectChunks(accepted.value)).at(-1) : undefined;
  const error = last?.type === 'failed' ? last.error : getError(accepted);
  t2.equal(error.type, 'connection_lost');
  t2.equal((await crashingEngine.waitForExit()).signal, 'SIGKILL');
  const refused = getError(await client.generate({ url: crashingEngine.url() }, createRequest()));
  t2.equal(refused.type, 'not_connected');
});

t.test('malformed responses are reported as typed errors', async (t2) => {
  let responseBody = '';
  const server = createServer((_request, response) => response.end(responseBody));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  for (const bytes of ['x'.repeat(300_000), '\n', '{"type":"token"}\n', '[]\n', 'null\n{']) {
    responseBody = bytes;
    const error = getError(await client.generate({ url }, createRequest()));
    t2.equal(error.type, 'protocol_violation', bytes.slice(0, 20));
    t2.equal(getError(await client.readStatus({ url })).type, 'protocol_violation');
  }
  responseBody = '';
  t2.equal(getError(await client.generate({ url }, createRequest())).type, 'connection_lost');
  server.close();
});

t.test('a draining engine refuses new prompts and completes running streams', async (t2) => {
  const drainingEngine = await startEngine({ stepMs: 20 });
  const drainingAddress = { url: drainingEngine.url() };
  const request = createRequest({ maxTokens: 60 });
  const stream = getValue(await client.generate(drainingAddress, request));
  drainingEngine.kill('SIGTERM');
  for (;;) {
    const status = await client.readStatus(drainingAddress);
    if (getValue(status).state === 'draining') break;
  }
  const refused = getError(await client.generate(drainingAddress, createRequest()));
  t2.match(refused, { type: 'refused', status: 503, reason: 'draining' });
  t2.equal(joinText(await collectChunks(stream)), computeExpectedText(request));
  t2.same(await drainingEngine.waitForExit(), { code: 0, signal: null });
});

t.test('a request without the service token is refused', async (t2) => {
  const authenticatedEngine = await startEngine({ checksCaller: true, serviceToken: 'secret' });
  const refused = getError(
    await client.generate({ url: authenticatedEngine.url() }, createRequest()),
  );
  t2.match(refused, { type: 'refused', status: 401 });
  const withToken = { url: authenticatedEngine.url(), serviceToken: 'secret' };
  t2.ok((await client.readStatus(withToken)).isOk());
  authenticatedEngine.kill();
  await authenticatedEngine.waitForExit();
});

/** Polls the status until the engine serves a weight version. */
const waitForVersion = async (target: EngineAddress, weightVersion: string): Promise<void> => {
  for (;;) {
    const { models } = getValue(await client.readStatus(target));
    if (models.some((model) => model.weightVersion === weightVersion)) return;
  }
};

t.test(
  'a weight swap does not affect a running stream and invalidates cached blocks',
  async (t2) => {
    const swappedEngine = await startEngine({ stepMs: 10 });
    const target = { url: swappedEngine.url() };
    const prompt = 'q'.repeat(600);
    const oldRequest = createRequest({ prompt, maxTokens: 200 });
    const stream = getValue(await client.generate(target, oldRequest));
    const order = { fencing: 1, type: 'load', model: MODEL.model, weightVersion: 'v2' } as const;
    t2.ok((await client.sendOrder(target, { ...order, orderId: 'o1' })).isOk());
    await waitForVersion(target, 'v2');
    const refused = getError(await client.generate(target, createRequest({ prompt })));
    t2.match(refused, { status: 409, reason: 'wrong_version' });
    const blockKeys = createBlockKeys(prompt.toUpperCase());
    const newRequest = createRequest({ prompt, blockKeys, weightVersion: 'v2' });
    const chunks = await collectChunks(getValue(await client.generate(target, newRequest)));
    t2.equal(joinText(chunks), computeExpectedText(newRequest));
    t2.match(chunks.at(-1), { weightVersion: 'v2', usage: { cachedTokens: 0 } });
    const oldChunks = await collectChunks(stream);
    t2.equal(joinText(oldChunks), computeExpectedText(oldRequest));
    t2.match(oldChunks.at(-1), { weightVersion: 'v1' });
    t2.equal(
      getValue(await client.readStatus(target)).load.cacheUse,
      2 / 512,
      'blocks of the old weights are evicted',
    );
    swappedEngine.kill();
    await swappedEngine.waitForExit();
  },
);

t.test(
  'an order with an outdated fencing token is refused if the engine checks fencing',
  async (t2) => {
    for (const checksFencing of [true, false]) {
      const orderedEngine = await startEngine({ checksFencing });
      const target = { url: orderedEngine.url() };
      const order = { type: 'set_role', role: 'x' } as const;
      t2.ok((await client.sendOrder(target, { ...order, orderId: 'o1', fencing: 5 })).isOk());
      const late = await client.sendOrder(target, { ...order, orderId: 'o2', fencing: 4 });
      if (checksFencing) t2.match(getError(late), { status: 409, reason: 'stale_fencing' });
      else t2.ok(late.isOk());
      t2.match(getValue(await client.readStatus(target)), { fencing: 5, checksFencing, role: 'x' });
      orderedEngine.kill();
      await orderedEngine.waitForExit();
    }
  },
);

t.test(
  'a stream that is sent twice runs once, and a cancelled one ends as `cancelled`',
  async (t2) => {
    const request = createRequest();
    const both = await Promise.all([generateChunks(request), generateChunks(request)]);
    for (const chunks of both) t2.equal(joinText(chunks), computeExpectedText(request));
    const runs = (await readControl(engine, '/control/runs')) as { readonly streamId: string }[];
    t2.equal(runs.filter(({ streamId }) => streamId === request.streamId).length, 1);
    const long = createRequest({ maxTokens: 250 });
    const stream = getValue(await client.generate(address, long));
    t2.ok((await client.cancel(address, long.streamId)).isOk());
    const last = (await collectChunks(stream)).at(-1);
    t2.match(last, { type: 'done', finishReason: 'cancelled' });
    t2.same(await readControl(engine, '/control/violations'), []);
  },
);

t.test('closing a stream that is not being read causes no unhandled error', async (t2) => {
  const closingClient = HttpEngineClient.create();
  const open = async () =>
    getValue(await closingClient.generate(address, createRequest({ maxTokens: 100 })));
  const closed = await open();
  const request = createRequest({ maxTokens: 100 });
  await closingClient.generate(address, request);
  const resumedStream = getValue(await closingClient.resume(address, request.streamId, 0));
  closed.close();
  t2.match((await collectChunks(closed)).at(-1), { error: { type: 'connection_lost' } });
  await closingClient.close();
  t2.match((await collectChunks(resumedStream)).at(-1), { error: { type: 'connection_lost' } });
  const refused = await closingClient.generate({ url: 'no url' }, createRequest());
  t2.equal(getError(refused).type, 'not_connected');
});
