import { createRandom } from '@lovagearch/common';

const WORDS = [
  'acreage',
  'closure',
  'cone',
  'crew',
  'estimate',
  'flagger',
  'junction',
  'ledger',
  'marshal',
  'night',
  'parcel',
  'pineapple',
  'rice',
  'roster',
  'shift',
  'sugarcane',
  'township',
];

/**
 * Creates a prompt of a given length from a seed, so that a run can be repeated.
 *
 * @param tokens length in tokens of 4 bytes
 */
export const createPrompt = (seed: number, tokens: number): string => {
  const random = createRandom(seed);
  const bytes = tokens * 4;
  let text = `prompt ${seed}:`;
  while (text.length < bytes) text += ` ${WORDS[Math.floor(random() * WORDS.length)]}`;
  return text.slice(0, bytes);
};
