/** How a node follows a table of the store; see `MirrorFollowerOptions`. All times are in milliseconds. */
export interface TableTiming {
  readonly longPollMs: number;
  readonly answerTimeoutMs: number;
  readonly pollIntervalMs: number;
  readonly retryDelayMs: number;
  readonly peerFallbackAgeMs: number;
}

/** Time that a response of the store may take in addition to a long poll, in milliseconds. */
const ANSWER_TIMEOUT_MS = 900;

/** Configuration changes are rare and urgent: a long poll with hardly a pause between two calls. */
export const OPERATOR_TABLE_TIMING: TableTiming = {
  longPollMs: 2_000,
  answerTimeoutMs: ANSWER_TIMEOUT_MS,
  pollIntervalMs: 100,
  retryDelayMs: 250,
  peerFallbackAgeMs: 1_000,
};

/** Heartbeats change this table all the time and each call is billed, so changes are read in batches. */
export const ENDPOINT_TABLE_TIMING: TableTiming = {
  longPollMs: 1_500,
  answerTimeoutMs: ANSWER_TIMEOUT_MS,
  pollIntervalMs: 700,
  retryDelayMs: 250,
  peerFallbackAgeMs: 1_500,
};

export const SHARED_TABLE_TIMING: TableTiming = {
  longPollMs: 3_000,
  answerTimeoutMs: ANSWER_TIMEOUT_MS,
  pollIntervalMs: 300,
  retryDelayMs: 400,
  peerFallbackAgeMs: 4_000,
};
