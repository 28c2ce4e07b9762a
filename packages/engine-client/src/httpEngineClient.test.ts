import { BLOCK_BYTES, computeSha256Hex } from '@lovagearch/common';
import {
  applyFaults,
  computeExpectedText,
  getStandinFile,
  getValue,
  startProcess,
} from '@lovagearch/standins';
import t from 'tap';
import { HttpEngineClient } from './httpEngineClient.js';
import type { EngineStream } from './engineClient.js';
import type { EngineAddress, EngineError, GenerateChunk, GenerateRequest } from './types.js';

const MODEL = { model: 'crop-8b', weightVersion: 'v1' };

type Chunk = GenerateChunk | { readonly type: 'failed'; error: EngineError };

/** Block keys of the test's own making; the stand-in only compares them. */
const createKeys = (prompt: string): string[] => {
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
    blockKeys: createKeys(prompt),
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

const getText = (chunks: readonly Chunk[]): string =>
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

const run = async (request: GenerateRequest, client2 = client): Promise<Chunk[]> =>
  collectChunks(getValue(await client2.generate(address, request)));

t.test('an answer is whole and belongs to its own prompt', async (t2) => {
  const request = createRequest();
  const chunks = await run(request);
  const text = computeExpectedText(request);
  t2.equal(getText(chunks), text);
  t2.equal(chunks[0]?.type, 'accepted');
  const sha256 = computeSha256Hex(text);
  t2.match(chunks.at(-1), { type: 'done', seq: 9, chunks: 8, sha256, finishReason: 'length' });
});

t.test('text continued after generated text equals the rest of the whole text', async (t2) => {
  const whole = createRequest();
  const generatedText = getText(await run({ ...whole, maxTokens: 3 }));
  const rest = createRequest({ generatedText, maxTokens: 5 });
  t2.equal(generatedText + getText(await run(rest)), computeExpectedText(whole));
});

t.test('a returning prompt is not computed again', async (t2) => {
  const prompt = 'p'.repeat(1_100);
  await run(createRequest({ prompt }));
  const chunks = await run(createRequest({ prompt }));
  t2.match(chunks.at(-1), { usage: { promptTokens: 275, cachedTokens: 256, importedTokens: 0 } });
  const boot = getValue(await client.readStatus(address));
  const page = await client.readCacheEvents(address, { boot: boot.boot, seq: 0 });
  const tailKey = createKeys(prompt).at(-1);
  t2.match(getValue(page).events, [{ type: 'stored', tailKey, depth: 4 }]);
});
