export const MS_PER_SECOND = 1_000;
/** Size of a prompt block; about 64 tokens of text. */
export const BLOCK_BYTES = 256;
/** Average UTF-8 bytes per token of text, used for estimates only. */
export const BYTES_PER_TOKEN = 4;
/** Tokens per prompt block, used for estimates only. */
export const TOKENS_PER_BLOCK = BLOCK_BYTES / BYTES_PER_TOKEN;
