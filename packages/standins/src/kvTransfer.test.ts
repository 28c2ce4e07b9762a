import { BLOCK_BYTES, computeSha256Hex } from '@lovagearch/common';
import t from 'tap';
import { request } from 'undici';
import { applyFaults, readControl } from './control.js';
import type { KvSource } from './engineSchemas.js';
import { computeExpectedText } from './expectedText.js';
import { encodeSegment } from './kvSegment.js';
import { getStandinFile, startProcess, type StartedProcess } from './startProcess.js';

const MODEL = { model: 'm', weightVersion: 'v1' };
const PROMPT = 'a returning prompt '.repeat(80);
const BLOCKS = Math.floor(PROMPT.length / BLOCK_BYTES);
const KEYS = Array.from({ length: BLOCKS }, (_, index) =>
  computeSha256Hex(PROMPT.slice(0, (index + 1) * BLOCK_BYTES)).slice(0, 32),
);
const TAIL_KEY = KEYS.at(-1)!;

let lastId = 0;

const startEngine = async (options: object = {}): Promise<StartedProcess> =>
  startProcess(getStandinFile('engine'), { models: [MODEL], stepMs: 1, ...options });

const generate = async (
  engine: StartedProcess,
  changes: object = {},
): Promise<{ readonly text: string; readonly usage: Record<string, number> }> => {
  lastId += 1;
  const call = {
    ...MODEL,
    requestId: `r${lastId}`,
    streamId: `s${lastId}`,
    account: 'a',
    prompt: PROMPT,
    blockKeys: KEYS,
    priority: 1,
    maxTokens: 4,
    seed: 1,
    ...changes,
  };
  const response = await request(`${engine.url()}/v1/generate`, {
    method: 'POST',
    body: JSON.stringify(call),
  });
  const lines = (await response.body.text()).trim().split('\n');
  const chunks = lines.map((line) => JSON.parse(line) as Record<string, string>);
  const tokens = chunks.filter(({ type }) => type === 'token');
  const usage = chunks.at(-1)!.usage as unknown as Record<string, number>;
  return { text: tokens.map(({ text }) => text).join(''), usage };
};

const exportTo = async (engine: StartedProcess, target: string) => {
  const body = JSON.stringify({ tailKey: TAIL_KEY, depth: BLOCKS, target });
  const response = await request(`${engine.url()}/v1/kv/export`, { method: 'POST', body });
  const exported = (await response.body.json()) as { readonly sha256: string };
  return { status: response.statusCode, sha256: exported.sha256 };
};

const TEXT = computeExpectedText({ ...MODEL, prompt: PROMPT, seed: 1, maxTokens: 4 });
const store = await startProcess(getStandinFile('store'));
const origin = await startEngine();
const createSource = (sha256: string): KvSource => ({
  url: store.url(),
  segmentId: TAIL_KEY,
  sha256,
  fromDepth: 0,
  depth: BLOCKS,
});
t.teardown(async () => {
  origin.kill();
  store.kill();
  await Promise.all([origin.waitForExit(), store.waitForExit()]);
});

t.test('only what is cached is exported, and a failing store is reported', async (t2) => {
  t2.equal((await exportTo(origin, store.url())).status, 404);
  t2.equal((await generate(origin)).usage.cachedTokens, 0);
  await applyFaults(store, { mode: 'full' });
  t2.equal((await exportTo(origin, store.url())).status, 502);
  await applyFaults(store, {});
  t2.equal((await exportTo(origin, store.url())).status, 200);
});

t.test('a segment that is cut or altered is a miss, and a whole one is imported', async (t2) => {
  const { sha256 } = await exportTo(origin, store.url());
  const imported = { short_read: 0, altered_read: 0, down: 0, ok: BLOCKS * 64 };
  for (const [mode, importedTokens] of Object.entries(imported)) {
    await applyFaults(store, { mode });
    const engine = await startEngine();
    const { text, usage } = await generate(engine, { kvSource: createSource(sha256) });
    t2.equal(text, TEXT, mode);
    t2.match(usage, { cachedTokens: 0, importedTokens }, mode);
    t2.same(await readControl(engine, '/control/violations'), [], mode);
    engine.kill();
    await engine.waitForExit();
  }
});

t.test('the use of a block with a wrong payload does not stay unnoticed', async (t2) => {
  const segment = encodeSegment(KEYS, 256);
  segment[segment.length - 1]! ^= 0xff;
  const sha256 = computeSha256Hex(segment);
  const headers = { 'x-length': segment.length, 'x-sha256': sha256, 'x-depth': BLOCKS };
  const url = `${store.url()}/v1/segments/${TAIL_KEY}`;
  const textHeaders = Object.fromEntries(
    Object.entries(headers).map(([name, value]) => [name, String(value)]),
  );
  const uploaded = await request(url, { method: 'PUT', headers: textHeaders, body: segment });
  t2.equal(uploaded.statusCode, 201);
  const engine = await startEngine();
  await generate(engine, { kvSource: createSource(sha256) });
  t2.match(await readControl(engine, '/control/violations'), [{ type: 'wrong_block' }]);
  engine.kill();
  await engine.waitForExit();
});

t.test('a block key that two accounts share does not stay unnoticed', async (t2) => {
  const engine = await startEngine();
  await generate(engine);
  await generate(engine, { account: 'another' });
  const violations = (await readControl(engine, '/control/violations')) as unknown[];
  t2.equal(violations.length, BLOCKS);
  engine.kill();
  await engine.waitForExit();
});

t.test('a small cache drops blocks instead of growing, and never uses a gap', async (t2) => {
  const engine = await startEngine({ cacheTokens: 128, eventLagMs: 0, eventLossRate: 0 });
  await generate(engine);
  t2.equal((await generate(engine)).usage.cachedTokens, 128);
  const otherKeys = KEYS.map((key) => computeSha256Hex(key).slice(0, 32));
  const prompt = PROMPT.toUpperCase();
  t2.equal((await generate(engine, { prompt, blockKeys: otherKeys })).usage.cachedTokens, 0);
  t2.equal((await generate(engine)).usage.cachedTokens, 0);
  t2.same(await readControl(engine, '/control/violations'), []);
  engine.kill();
  await engine.waitForExit();
});
