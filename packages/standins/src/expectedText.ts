import { BYTES_PER_TOKEN, computeHash32, computeSha256Hex } from '@lovagearch/common';

const DIGITS = 36;
const SHORTEST_ANSWER_TOKENS = 256;
const LONGEST_ANSWER_TOKENS = 1_024;

/** What decides the text that the engine stand-in generates. */
export interface TextSource {
  readonly model: string;
  readonly weightVersion: string;
  readonly prompt: string;
  readonly seed: number;
}

/** The whole answer to a prompt: a token of 4 ASCII characters at each position. */
export interface AnswerTokens {
  /** Tokens of the whole answer, after which generation stops by itself. */
  readonly count: number;
  readonly getToken: (position: number) => string;
}

/** Returns the answer that belongs to a prompt. */
export const getAnswerTokens = (source: TextSource): AnswerTokens => {
  const { model, weightVersion, prompt, seed } = source;
  const base = computeSha256Hex(JSON.stringify([model, weightVersion, prompt, seed]));
  const range = LONGEST_ANSWER_TOKENS - SHORTEST_ANSWER_TOKENS;
  return {
    count: SHORTEST_ANSWER_TOKENS + (computeHash32(base) % range),
    getToken: (position) => {
      const digits = computeHash32(`${base}/${position}`).toString(DIGITS).padStart(3, '0');
      return ` ${digits.slice(-3)}`;
    },
  };
};

/** Returns the position that follows a text which was generated before. */
export const getPositionAfter = (text: string): number =>
  Math.floor(Buffer.byteLength(text) / BYTES_PER_TOKEN);

/**
 * Computes the text that the engine stand-in generates for a request.
 *
 * @param request.maxTokens bound on the tokens of this text, without those of `afterText`
 * @param request.afterText text generated before, after which generation continues
 * @example
 * computeExpectedText({ model: 'm', weightVersion: 'v1', prompt: 'Hi', seed: 1, maxTokens: 16 });
 */
export const computeExpectedText = (
  request: TextSource & { readonly maxTokens: number; readonly afterText?: string | undefined },
): string => {
  const tokens = getAnswerTokens(request);
  const start = getPositionAfter(request.afterText ?? '');
  const end = Math.min(tokens.count, start + request.maxTokens);
  let text = '';
  for (let position = start; position < end; position++) text += tokens.getToken(position);
  return text;
};
