import { BLOCK_BYTES, BYTES_PER_TOKEN, TOKENS_PER_BLOCK } from '@lovagearch/common';
import { createHash } from 'node:crypto';
import type { GenerateCall } from './engineSchemas.js';
import { type AnswerTokens, getAnswerTokens, getPositionAfter } from './expectedText.js';
import type { ChainBlock } from './prefixCache.js';
import type { Stream } from './streamHub.js';

/** A request on its way through the engine. */
export interface Sequence {
  readonly call: GenerateCall;
  readonly stream: Stream;
  readonly answer: AnswerTokens;
  readonly chain: readonly ChainBlock[];
  readonly promptTokens: number;
  /** Weight version that the sequence keeps to its end, with its model. */
  readonly version: string;
  readonly startPosition: number;
  phase: 'decode' | 'importing' | 'prefill' | 'queued';
  isCancelled: boolean;
  cachedDepth: number;
  importedDepth: number;
  /** Blocks of the chain that this sequence has pinned. */
  pinnedDepth: number;
  /** Tokens that are still to be computed before the first token. */
  prefillLeft: number;
}

/** Returns the name under which the cache keeps blocks of one version of a model. */
export const getVersionName = (model: string, weightVersion: string): string =>
  JSON.stringify([model, weightVersion]);

/** Computes the identity of each block from the prompt itself, independent of the given keys. */
const computeChain = (call: GenerateCall, promptBytes: Buffer): ChainBlock[] => {
  const { account, model, weightVersion, adapter } = call;
  let identity = JSON.stringify([account, model, weightVersion, adapter ?? null]);
  const chain: ChainBlock[] = [];
  for (const [index, key] of call.blockKeys.entries()) {
    const start = index * BLOCK_BYTES;
    const hash = createHash('sha256').update(identity);
    identity = hash.update(promptBytes.subarray(start, start + BLOCK_BYTES)).digest('hex');
    chain.push({ key, identity });
  }
  return chain;
};

/** Creates the sequence of an accepted call. */
export const createSequence = (call: GenerateCall, stream: Stream): Sequence => {
  const promptBytes = Buffer.from(call.prompt);
  const promptTokens = Math.ceil(promptBytes.length / BYTES_PER_TOKEN);
  return {
    call,
    stream,
    answer: getAnswerTokens(call),
    chain: computeChain(call, promptBytes),
    promptTokens,
    version: getVersionName(call.model, call.weightVersion),
    startPosition: getPositionAfter(call.generatedText ?? ''),
    phase: 'queued',
    isCancelled: false,
    cachedDepth: 0,
    importedDepth: 0,
    pinnedDepth: 0,
    prefillLeft: promptTokens,
  };
};

/** Returns the tokens to compute when the given number of blocks is present. */
export const getPrefillTokens = (sequence: Sequence, presentDepth: number): number =>
  // The last token is always computed, since its output is the first generated token.
  Math.max(1, sequence.promptTokens + sequence.startPosition - presentDepth * TOKENS_PER_BLOCK);
