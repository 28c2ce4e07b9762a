import { computeExpectedText } from '@lovagearch/standins';
import { processClock } from '@lovagearch/common';
import { HttpEngineClient, type EngineAddress } from '@lovagearch/engine-client';
import { computeBlockKeys } from '@lovagearch/reuse';
import { request } from 'undici';
import { CallerClient } from './callerClient.js';
import { Cluster, type ClusterVm } from './cluster.js';
import {
  createAccountFile,
  createModelFile,
  createModelServiceFile,
  createPlainServiceFile,
  getAccountKey,
} from './deployments.js';
import { createPrompt } from './prompts.js';
import { waitUntil } from './waiting.js';

/** One line of the demo's table. */
interface DemoStep {
  readonly name: string;
  readonly run: (demo: Demo) => Promise<string>;
}

interface Demo {
  readonly cluster: Cluster;
  readonly entries: readonly ClusterVm[];
  readonly firstCaller: CallerClient;
  readonly secondCaller: CallerClient;
}

class DemoError extends Error {
  override readonly name = 'DemoError';
}

const MODEL = 'crop-8b';
const PLACE = { region: 'south', zone: 'chiayi' };
const OTHER_PLACE = { region: 'south', zone: 'tainan' };
const PROMPT_TOKENS = 2_048;
const MAX_FILLER_PROMPTS = 60;
const EXPORT_TIMEOUT_MS = 10_000;

const assertThat = (condition: boolean, message: string): void => {
  if (!condition) throw new DemoError(message);
};

const getUrl = ({ cluster, entries }: Demo, index: number): string => {
  const entry = entries[index];
  if (entry === undefined) throw new DemoError(`no entry process ${index}`);
  return cluster.getCallerUrl(entry);
};

const startCluster = async (): Promise<Cluster> => {
  const cluster = await Cluster.start();
  const engine = {
    models: [{ model: MODEL, weightVersion: 'v1', adapters: [] }],
    prefillTokensPerSecond: 8_000,
    cacheTokens: 8_192,
    eventLossRate: 0.05,
  };
  await Promise.all([
    cluster.startEngine('runner-1', PLACE, 'estimator', engine),
    cluster.startEngine('runner-2', OTHER_PLACE, 'estimator', engine),
    cluster.startStore('store-1', PLACE),
    cluster.startService('ledger-1', PLACE, 'ledger'),
    cluster.startService('ledger-2', OTHER_PLACE, 'ledger'),
  ]);
  for (const [index, place] of [PLACE, OTHER_PLACE, PLACE].entries()) {
    await cluster.startEntry(`entry-${index + 1}`, place);
  }
  return cluster;
};

/** Reads all cache events of a runner and tells whether it evicted one of the blocks. */
const hasEvicted = async (
  engines: HttpEngineClient,
  address: EngineAddress,
  keys: ReadonlySet<string>,
): Promise<boolean> => {
  let after = { boot: '', seq: 0 };
  for (;;) {
    const page = await engines.readCacheEvents(address, after);
    if (page.isErr() || page.value.events.length === 0) return false;
    for (const event of page.value.events) {
      if (event.type === 'evicted' && event.keys.some((key) => keys.has(key))) return true;
    }
    after = { boot: page.value.boot, seq: page.value.nextSeq };
  }
};

/** Tells whether a runner reported that it evicted a block of a prompt. */
const isEvicted = async (cluster: Cluster, keys: ReadonlySet<string>): Promise<boolean> => {
  const engines = HttpEngineClient.create();
  const evictions = ['runner-1', 'runner-2'].map((id) => {
    const address = { url: cluster.getVm(id).process.url(), serviceToken: cluster.serviceToken };
    return hasEvicted(engines, address, keys);
  });
  const results = await Promise.all(evictions);
  await engines.close();
  return results.includes(true);
};

const publishConfiguration = async ({ cluster }: Demo): Promise<string> => {
  const result = await cluster.publish([
    createModelServiceFile('estimator'),
    createPlainServiceFile('ledger', ['/claims']),
    createModelFile(MODEL, 'estimator'),
    createAccountFile('jianan-01', ['estimator', 'ledger']),
    createAccountFile('jianan-02', ['estimator', 'ledger']),
  ]);
  assertThat(result.exitCode === 0, `publish ended with ${result.exitCode}: ${result.stderr}`);
  await cluster.waitReady();
  return 'in force at 3 entry processes';
};

const checkAnswers = async (demo: Demo): Promise<string> => {
  const prompt = createPrompt(1, 256);
  const body = { model: MODEL, prompt, max_tokens: 16, seed: 5 };
  const expected = computeExpectedText({
    model: MODEL,
    weightVersion: 'v1',
    prompt,
    seed: 5,
    maxTokens: 16,
  });
  const [first, second, wrong] = await Promise.all([
    demo.firstCaller.sendCompletion(getUrl(demo, 0), body),
    demo.secondCaller.sendCompletion(getUrl(demo, 1), { ...body, stream: true }),
    CallerClient.create('no such key').sendCompletion(getUrl(demo, 2), body),
  ]);
  assertThat(first.text === expected && second.text === expected, 'an answer is wrong');
  const isIsolated =
    first.usage?.prompt_tokens_details?.cached_tokens === 0 &&
    second.usage?.prompt_tokens_details?.cached_tokens === 0;
  assertThat(isIsolated, 'an account used the cache of another');
  assertThat(wrong.failure?.type === 'unauthorized', 'a wrong key was not refused');
  return 'both answers whole, no cache shared, wrong key refused';
};

const checkReturn = async (demo: Demo): Promise<string> => {
  const { cluster, firstCaller, secondCaller } = demo;
  const prompt = createPrompt(100, PROMPT_TOKENS);
  const send = async (caller: CallerClient, entry: number, text: string) => {
    const body = { model: MODEL, prompt: text, max_tokens: 4, stream: true };
    const result = await caller.sendCompletion(getUrl(demo, entry), body);
    assertThat(result.isComplete, `a prompt failed: ${result.failure?.type ?? 'incomplete'}`);
    return result;
  };
  const cold = await send(firstCaller, 0, prompt);
  await waitUntil('the prompt is exported', EXPORT_TIMEOUT_MS, async () => {
    await send(firstCaller, 0, createPrompt(Math.floor(processClock.nowMs()), 512));
    const status = await request(`${cluster.getVm('store-1').process.url()}/v1/segments?limit=100`);
    const { segments } = (await status.body.json()) as { segments: { depth: number }[] };
    return segments.some(({ depth }) => depth >= PROMPT_TOKENS / 64);
  });
  const identity = { account: 'jianan-01', model: MODEL, weightVersion: 'v1' };
  const keys = new Set<string>(computeBlockKeys(identity, prompt));
  for (let filler = 0; !(await isEvicted(cluster, keys)); filler++) {
    assertThat(filler < MAX_FILLER_PROMPTS, 'the prompt was not evicted');
    const caller = filler % 2 === 0 ? firstCaller : secondCaller;
    await send(caller, filler % 3, createPrompt(200 + filler, PROMPT_TOKENS));
  }
  const warm = await send(firstCaller, 1, `${prompt} And the acreage of the next parcel?`);
  const { cached_tokens: cached = 0, imported_tokens: imported = 0 } =
    warm.usage?.prompt_tokens_details ?? {};
  const computed = (warm.usage?.prompt_tokens ?? 0) - cached - imported;
  assertThat(imported > 0, `nothing was imported (cached ${cached}, computed ${computed})`);
  assertThat(computed < PROMPT_TOKENS / 8, `${computed} tokens were computed again`);
  return (
    `${imported} tokens from the store VM, ${computed} computed; ` +
    `first token ${Math.round(cold.ttftMs)} ms cold, ${Math.round(warm.ttftMs)} ms returned`
  );
};

const checkAtMostOnce = async (demo: Demo): Promise<string> => {
  const options = { idempotencyKey: 'claim-77', body: { parcel: 77, amount: 1_200 } };
  const first = await demo.firstCaller.sendService(getUrl(demo, 0), 'ledger/claims', options);
  const second = await demo.firstCaller.sendService(getUrl(demo, 2), 'ledger/claims', options);
  assertThat(first.status === 200, `the claim failed: ${first.failure?.type ?? first.status}`);
  assertThat(
    JSON.stringify(first.body) === JSON.stringify(second.body),
    'the two answers are different',
  );
  const logs = await Promise.all(
    ['ledger-1', 'ledger-2'].map((id) => demo.cluster.readControl(id, 'runs')),
  );
  const runs = (logs.flat() as { count: number }[]).reduce((sum, { count }) => sum + count, 0);
  assertThat(runs === 1, `the claim ran ${runs} times`);
  return 'one run, two equal answers through two entry processes';
};

const checkResume = async (demo: Demo): Promise<string> => {
  const prompt = createPrompt(300, 256);
  const body = { model: MODEL, prompt, max_tokens: 200, seed: 9, stream: true };
  const expected = computeExpectedText({
    model: MODEL,
    weightVersion: 'v1',
    prompt,
    seed: 9,
    maxTokens: 200,
  });
  let received = 0;
  const broken = await demo.firstCaller.sendCompletion(getUrl(demo, 0), body, {
    onText: () => {
      received += 1;
      if (received === 40) demo.entries[0]?.process.kill('SIGKILL');
    },
  });
  assertThat(!broken.isComplete, 'the stream ended before the entry process was killed');
  const rest = await demo.firstCaller.sendCompletion(getUrl(demo, 1), body, {
    lastEventId: broken.lastEventId,
  });
  assertThat(rest.isComplete, `the rest did not arrive: ${rest.failure?.type ?? 'incomplete'}`);
  assertThat(broken.text + rest.text === expected, 'the joined answer is wrong');
  return `${broken.text.length} bytes before, ${rest.text.length} after the kill; whole and in order`;
};

const STEPS: readonly DemoStep[] = [
  { name: 'publish configuration', run: publishConfiguration },
  { name: 'answers of two accounts', run: checkAnswers },
  { name: 'returning prompt', run: checkReturn },
  { name: 'non-idempotent call', run: checkAtMostOnce },
  { name: 'entry process killed', run: checkResume },
];

const runDemo = async (): Promise<boolean> => {
  const startMs = processClock.nowMs();
  const cluster = await startCluster();
  const demo: Demo = {
    cluster,
    entries: cluster.listEntries(),
    firstCaller: CallerClient.create(getAccountKey('jianan-01')),
    secondCaller: CallerClient.create(getAccountKey('jianan-02')),
  };
  let hasPassed = true;
  for (const { name, run } of STEPS) {
    try {
      const detail = await run(demo);
      process.stdout.write(`ok      ${name.padEnd(26)}${detail}\n`);
    } catch (error) {
      hasPassed = false;
      const message = error instanceof Error ? error.message : String(error);
      process.stdout.write(`FAILED  ${name.padEnd(26)}${message}\n`);
    }
  }
  await Promise.all([demo.firstCaller.close(), demo.secondCaller.close()]);
  await cluster.stop();
  const elapsedS = ((processClock.nowMs() - startMs) / 1_000).toFixed(1);
  process.stdout.write(`${hasPassed ? 'The demo passed' : 'The demo failed'} in ${elapsedS} s.\n`);
  return hasPassed;
};

process.exitCode = (await runDemo()) ? 0 : 1;
