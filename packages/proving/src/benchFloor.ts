import { BYTES_PER_TOKEN, TOKENS_PER_BLOCK } from '@lovagearch/common';
import { computeBlockKeys } from '@lovagearch/reuse';
import type { PlannedPrompt } from './benchWorkload.js';

/** Weight version of all models of the benchmark. */
export const WEIGHT_VERSION = 'v1';

/**
 * Computes the prompt work that no policy can avoid: the first occurrence of each block of an
 * account and version, and the tokens behind the last whole block.
 */
export class RecomputeFloor {
  private readonly known = new Set<string>();

  static create(): RecomputeFloor {
    return new RecomputeFloor();
  }

  /** Returns the tokens that must be computed for a request and counts its blocks as known. */
  record({ account, prompt }: PlannedPrompt, model: string): number {
    const identity = { account, model, weightVersion: WEIGHT_VERSION };
    const keys = computeBlockKeys(identity, prompt);
    let presentBlocks = 0;
    for (const key of keys) {
      if (!this.known.has(key)) break;
      presentBlocks += 1;
    }
    for (const key of keys) this.known.add(key);
    const promptTokens = Math.ceil(Buffer.byteLength(prompt) / BYTES_PER_TOKEN);
    return Math.max(1, promptTokens - presentBlocks * TOKENS_PER_BLOCK);
  }
}
