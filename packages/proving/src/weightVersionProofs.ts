import { setTimeout as waitMs } from 'node:timers/promises';
import { request } from 'undici';
import { z } from 'zod';
import { CACHE_STAGE, createCacheBody, sendFillers, waitExported } from './cacheRound.js';
import type { CompletionBody } from './callerClient.js';
import { checkHistories } from './historyCheckers.js';
import { assertProof, type ProofCase, type ProofContext, ProofError } from './proofCase.js';
import {
  getPlace,
  listStageFiles,
  type ProofStage,
  runOnStage,
  type StageOptions,
} from './proofStage.js';
import { createStreamBody } from './streamRound.js';
import { waitUntil } from './waiting.js';
import {
  checkWholeAnswer,
  getExpectedText,
  getReusedTokens,
  receiveWholeAnswer,
  sendChecked,
} from './wholeAnswer.js';

const STORED_PROMPTS = 2;
const OLD_STREAMS = 4;
/** Longer than the swap of one runner, so that some streams begin before it and end after it. */
const OLD_STREAM_TOKENS = 600;
const LOAD_SEED = 2_000;
const LOAD_PAUSE_MS = 40;
const SWAP_TIMEOUT_MS = 40_000;
const SAMPLE_MS = 50;
/** A runner that does not tell its state for this time counts as not ready. */
const STATUS_TIMEOUT_MS = 1_000;
const FAULT_MS = 3_000;

const SWAP_STAGE: StageOptions = { ...CACHE_STAGE, runners: 3, cluster: { hasProxies: true } };

const statusSchema = z.object({
  state: z.string(),
  models: z.array(z.object({ weightVersion: z.string() })),
});

/** Returns the weight versions that ready runners hold; a runner that does not answer is left out. */
const listReadyVersions = async (stage: ProofStage): Promise<string[]> => {
  const versions = stage.runners.map(async (id) => {
    try {
      const response = await request(`${stage.cluster.getVm(id).process.url()}/v1/status`, {
        headers: { authorization: `Bearer ${stage.cluster.serviceToken}` },
        signal: AbortSignal.timeout(STATUS_TIMEOUT_MS),
      });
      const { state, models } = statusSchema.parse(await response.body.json());
      return state === 'ready' ? models.map(({ weightVersion }) => weightVersion) : [];
    } catch {
      return [];
    }
  });
  return (await Promise.all(versions)).flat();
};

/** Load and samples that run until the swap is over. */
class SwapWatch {
  readonly counts = { v1: 0, v2: 0 };

  leastReady = Infinity;

  private isOver = false;

  private readonly tasks: Promise<void>[];

  private constructor(
    private readonly stage: ProofStage,
    private readonly context: ProofContext,
  ) {
    this.tasks = [this.runSamples(), this.runLoad(0), this.runLoad(1)];
    // `stop` reports a failure; until then it must not end the process.
    for (const task of this.tasks) task.catch(() => undefined);
  }

  static create(stage: ProofStage, context: ProofContext): SwapWatch {
    return new SwapWatch(stage, context);
  }

  /** Stops load and samples; throws the first failure of either. */
  async stop(): Promise<void> {
    this.isOver = true;
    for (const result of await Promise.allSettled(this.tasks)) {
      if (result.status === 'rejected') throw result.reason;
    }
  }

  private async runSamples(): Promise<void> {
    while (!this.isOver) {
      this.leastReady = Math.min(this.leastReady, (await listReadyVersions(this.stage)).length);
      await waitMs(SAMPLE_MS);
    }
  }

  private async runLoad(entry: number): Promise<void> {
    for (let index = 0; !this.isOver; index++) {
      const body = createStreamBody(this.context, LOAD_SEED + entry * LOAD_SEED + index);
      await this.sendOne(entry, { ...body, max_tokens: 8 });
      await waitMs(LOAD_PAUSE_MS);
    }
  }

  private async sendOne(entry: number, body: CompletionBody): Promise<void> {
    const result = await this.stage.first.sendCompletion(this.stage.getUrl(entry), body);
    const ending = result.failure?.type ?? 'incomplete';
    assertProof(result.isComplete, `a request was not served during the swap: ${ending}`);
    if (result.text === getExpectedText(body, 'v1')) this.counts.v1 += 1;
    else if (result.text === getExpectedText(body, 'v2')) this.counts.v2 += 1;
    else throw new ProofError('an answer is neither of v1 nor of v2');
  }
}

/** Streams that begin before the swap; they keep their version to the end. */
const startOldStreams = (stage: ProofStage, context: ProofContext): Promise<void>[] =>
  Array.from({ length: OLD_STREAMS }, async (_none, index) => {
    const body = { ...createStreamBody(context, index), max_tokens: OLD_STREAM_TOKENS };
    const listUrls = () => stage.listUrls(index);
    checkWholeAnswer(body, await receiveWholeAnswer(stage.first, body, { listUrls }), 'v1');
  });

/** Sends prompts whose v1 blocks are stored; at v2 nothing of them may be reused. */
const checkNewVersion = async (stage: ProofStage, context: ProofContext): Promise<void> => {
  for (let index = 0; index < STORED_PROMPTS; index++) {
    const body = createCacheBody(context, index, ' And the next?');
    const answer = await sendChecked(stage.first, stage.getUrl(index), body, 'v2');
    const { cached, imported } = getReusedTokens(answer);
    assertProof(cached + imported === 0, `${cached + imported} tokens of v1 were used at v2`);
  }
};

type RunFault = (stage: ProofStage) => Promise<void>;

const runSwap = async (
  stage: ProofStage,
  context: ProofContext,
  runFault: RunFault,
): Promise<string> => {
  await waitExported(stage, context, STORED_PROMPTS);
  await sendFillers(stage, context);
  const oldStreams = Promise.all(startOldStreams(stage, context));
  const watch = SwapWatch.create(stage, context);
  const published = await stage.cluster.publish(listStageFiles('v2'), 'swap');
  assertProof(published.exitCode === 0, `publish failed: ${published.stderr}`);
  const faultEnd = runFault(stage);
  const ended = await Promise.allSettled([
    oldStreams,
    faultEnd,
    waitUntil('all runners hold v2', SWAP_TIMEOUT_MS, async () => {
      const versions = await listReadyVersions(stage);
      return versions.length === stage.runners.length && versions.every((one) => one === 'v2');
    }),
  ]);
  await watch.stop();
  for (const result of ended) if (result.status === 'rejected') throw result.reason;
  assertProof(watch.leastReady > 0, 'no runner was ready at some time');
  await checkNewVersion(stage, context);
  await stage.checkViolations();
  checkHistories(await stage.readHistories());
  const { v1, v2 } = watch.counts;
  return `${OLD_STREAMS} streams kept v1; load got ${v1} of v1, ${v2} of v2; least ${watch.leastReady} ready`;
};

/** Runs a swap under load with a steward of its own, which is ended in any event. */
const runSwapCase = async (context: ProofContext, runFault: RunFault): Promise<string> =>
  runOnStage(SWAP_STAGE, async (stage) => {
    const steward = await stage.cluster.startSteward('steward-1', getPlace(0));
    try {
      return await runSwap(stage, context, runFault);
    } finally {
      steward.kill('SIGKILL');
      await steward.waitForExit();
    }
  });

/** Waits until the first runner holds v2, so that the fault comes in the middle of the swap. */
const waitFirstSwap = async (stage: ProofStage): Promise<void> => {
  await waitUntil('one runner holds v2', SWAP_TIMEOUT_MS, async () =>
    (await listReadyVersions(stage)).includes('v2'),
  );
};

const freezeRunner: RunFault = async (stage) => {
  await waitFirstSwap(stage);
  const { process: started } = stage.cluster.getVm('runner-2');
  started.kill('SIGSTOP');
  await waitMs(FAULT_MS);
  started.kill('SIGCONT');
};

/** Orders reach the runner, but their answers are lost; so are those of its streams. */
const loseAnswers: RunFault = async (stage) => {
  const proxy = stage.cluster.proxies.get('runner-3');
  proxy?.setMode('one_way');
  await waitMs(FAULT_MS);
  proxy?.setMode('pass');
  proxy?.resetConnections();
};

/** Promise 3: a new request never uses blocks of another weight version. */
export const WEIGHT_VERSION_PROOFS: readonly ProofCase[] = [
  {
    name: 'versions-swap-under-load',
    promise: 3,
    faults: ['weight swap under load', 'segments of the old version stored'],
    isInTests: true,
    run: async (context) => runSwapCase(context, async () => undefined),
  },
  {
    name: 'versions-swap-runner-frozen',
    promise: 3,
    faults: ['runner frozen in the swap'],
    isInTests: false,
    run: async (context) => runSwapCase(context, freezeRunner),
  },
  {
    name: 'versions-swap-frozen-answers-lost',
    promise: 3,
    faults: ['runner frozen in the swap', 'answers of another runner to orders lost'],
    isInTests: false,
    run: async (context) =>
      runSwapCase(context, async (stage) => {
        await Promise.all([freezeRunner(stage), loseAnswers(stage)]);
      }),
  },
];
