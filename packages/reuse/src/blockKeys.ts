import { createHash } from 'node:crypto';
import { BLOCK_BYTES, type BlockKey } from '@lovagearch/common';
import { BLOCK_KEY_BYTES } from './constants.js';

/** The properties that two requests must have in common to share cached blocks. */
export interface CacheIdentity {
  readonly account: string;
  readonly model: string;
  readonly weightVersion: string;
  readonly adapter?: string | undefined;
}

const computeKey = (...parts: readonly Uint8Array[]): Buffer => {
  const hash = createHash('sha256');
  for (const part of parts) hash.update(part);
  return hash.digest().subarray(0, BLOCK_KEY_BYTES);
};

/**
 * Computes the root key of a chain. The parts are encoded as a JSON array, since different names
 * joined with a separator could yield the same text and collide.
 */
const computeRootKey = ({ account, model, weightVersion, adapter }: CacheIdentity): Buffer =>
  computeKey(Buffer.from(JSON.stringify([account, model, weightVersion, adapter ?? null]), 'utf8'));

/**
 * Computes the chained keys of a prompt's complete blocks of 256 bytes. Equal keys at a depth imply
 * equal account, model, weight version, adapter and text up to that depth.
 *
 * @returns 32 hexadecimal digits for each complete block; empty for prompts shorter than one block
 * @example
 * computeBlockKeys({ account: 'zamu', model: 'roster-8b', weightVersion: 'v1' }, prompt);
 */
export const computeBlockKeys = (identity: CacheIdentity, prompt: string): BlockKey[] => {
  const bytes = Buffer.from(prompt, 'utf8');
  const keys: BlockKey[] = [];
  let parent = computeRootKey(identity);
  for (let start = 0; start + BLOCK_BYTES <= bytes.length; start += BLOCK_BYTES) {
    parent = computeKey(parent, bytes.subarray(start, start + BLOCK_BYTES));
    keys.push(parent.toString('hex') as BlockKey);
  }
  return keys;
};
