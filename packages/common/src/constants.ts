/** Milliseconds in one second. */
export const MS_PER_SECOND = 1_000;
/** Bytes of one prompt block; about 64 tokens of text. */
export const BLOCK_BYTES = 256;
/** Average UTF-8 bytes of one token of text, used for estimates only. */
export const BYTES_PER_TOKEN = 4;
/** Tokens of one prompt block, used for estimates only. */
export const TOKENS_PER_BLOCK = BLOCK_BYTES / BYTES_PER_TOKEN;
