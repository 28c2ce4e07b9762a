import type { CompletionBody } from './callerClient.js';
import { assertProof, type ProofContext } from './proofCase.js';
import { MODEL, type ProofStage, type StageOptions } from './proofStage.js';
import { createPrompt } from './prompts.js';
import { waitUntil } from './waiting.js';
import { getReusedTokens, sendChecked } from './wholeAnswer.js';

const PROMPT_TOKENS = 1_024;
const PROMPT_BLOCKS = PROMPT_TOKENS / 64;
const ANSWER_TOKENS = 4;
const EXPORT_TIMEOUT_MS = 15_000;
/** Seeds of one case; its prompts never share their first block. */
const SEEDS_PER_CASE = 1_000;
const FILLER_SEED = 500;

/** Two runners whose caches hold four prompts each, so that returning prompts are imported. */
export const CACHE_STAGE: StageOptions = {
  runners: 2,
  entries: 2,
  stores: 1,
  engine: { cacheTokens: 4_096, prefillTokensPerSecond: 20_000, eventLagMs: 100 },
};

/** Creates the request of the n-th prompt of a case. */
export const createCacheBody = (
  { seed }: ProofContext,
  index: number,
  suffix = '',
): CompletionBody => ({
  model: MODEL,
  prompt: createPrompt(seed * SEEDS_PER_CASE + index, PROMPT_TOKENS) + suffix,
  max_tokens: ANSWER_TOKENS,
  seed: seed + index,
});

/** Sends the prompts once, over the entry processes in turn. */
export const sendPrompts = async (
  stage: ProofStage,
  context: ProofContext,
  count: number,
): Promise<void> => {
  for (let index = 0; index < count; index++) {
    await sendChecked(stage.first, stage.getUrl(index), createCacheBody(context, index));
  }
};

/** Waits until the store VM holds a whole prompt for each of `count` prompts. */
export const waitExported = async (
  stage: ProofStage,
  context: ProofContext,
  count: number,
): Promise<void> => {
  await sendPrompts(stage, context, count);
  let filler = FILLER_SEED;
  await waitUntil(`${count} prompts are exported`, EXPORT_TIMEOUT_MS, async () => {
    filler += 1;
    await sendChecked(stage.first, stage.getUrl(filler), createCacheBody(context, filler));
    const segments = await stage.listSegments('store-1');
    return segments.filter(({ depth }) => depth >= PROMPT_BLOCKS).length >= count;
  });
};

/** Fills the caches of the runners with other prompts, so that earlier ones are evicted. */
export const sendFillers = async (stage: ProofStage, context: ProofContext): Promise<void> => {
  const fillers = Array.from({ length: 12 }, (_none, index) => 800 + index);
  for (const filler of fillers) {
    await sendChecked(stage.first, stage.getUrl(filler), createCacheBody(context, filler));
  }
};

export interface ReturnTotals {
  cached: number;
  imported: number;
}

/** Sends the prompts again with another ending, all at the same time, and checks the answers. */
export const sendReturning = async (
  stage: ProofStage,
  context: ProofContext,
  count: number,
  suffix: string,
): Promise<ReturnTotals> => {
  const totals = { cached: 0, imported: 0 };
  const sent = Array.from({ length: count }, async (_none, index) =>
    sendChecked(stage.first, stage.getUrl(index), createCacheBody(context, index, suffix)),
  );
  const ended = await Promise.allSettled(sent);
  for (const result of ended) {
    if (result.status === 'rejected') throw result.reason;
    const { cached, imported } = getReusedTokens(result.value);
    totals.cached += cached;
    totals.imported += imported;
  }
  return totals;
};

/** Counts the choices of runners that came with a segment to import. */
export const countOffered = async (stage: ProofStage): Promise<number> => {
  const histories = [...(await stage.readHistories()).values()].join('\n');
  return histories.split('"segment":').length - 1;
};

/** Fails the case if no runner was pointed to a segment, as the fault then met nothing. */
export const checkOffered = async (stage: ProofStage, before: number): Promise<number> => {
  const offered = (await countOffered(stage)) - before;
  assertProof(offered > 0, 'no request was pointed to a segment, so the fault met nothing');
  return offered;
};
