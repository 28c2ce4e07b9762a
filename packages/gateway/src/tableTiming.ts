import type { GatewaySettings } from './types.js';

/** How a node follows a table of the store; see `MirrorFollowerOptions`. All times are in milliseconds. */
export interface TableTiming {
  readonly longPollMs: number;
  readonly answerTimeoutMs: number;
  readonly pollIntervalMs: number;
  readonly retryDelayMs: number;
}

/** Maximum time that a response of the store may take in addition to a long poll, in milliseconds. */
const MAX_ANSWER_TIMEOUT_MS = 900;

/** Maximum long poll of the operator's table, in milliseconds; a longer one saves few calls. */
const MAX_OPERATOR_LONG_POLL_MS = 2_000;

/**
 * Share of a change's time limit after which a node whose call was dropped sends the next one. The rest is
 * for the next call, the peers that read from this node, and a busy processor.
 */
const DROPPED_CALL_SHARE = 0.7;

/** Age beyond its usual maximum from which a copy counts as overdue, in milliseconds. */
const OVERDUE_MARGIN_MS = 300;

/** Heartbeats change this table all the time and each call is billed, so changes are read in batches. */
export const ENDPOINT_TABLE_TIMING: TableTiming = {
  longPollMs: 1_500,
  answerTimeoutMs: MAX_ANSWER_TIMEOUT_MS,
  pollIntervalMs: 700,
  retryDelayMs: 250,
};

/** Age of the copy from which peers are queried after a failed call, in milliseconds. */
export const ENDPOINT_TABLE_FALLBACK_AGE_MS = 1_500;

export const SHARED_TABLE_TIMING: TableTiming = {
  longPollMs: 3_000,
  answerTimeoutMs: MAX_ANSWER_TIMEOUT_MS,
  pollIntervalMs: 300,
  retryDelayMs: 400,
};

/** Age of the copy from which peers are queried after a failed call, in milliseconds. */
export const SHARED_TABLE_FALLBACK_AGE_MS = 4_000;

/**
 * Returns the timing of the operator's table, whose changes are rare and urgent: a long poll with hardly a
 * pause between two calls. A node can't tell a dropped call from one that waits for a change, so poll and
 * timeout together end well within the time limit of a change.
 *
 * @example
 * createOperatorTableTiming(settings.bounds).longPollMs;
 */
export const createOperatorTableTiming = ({
  configurationLimitMs,
  contactLimitMs,
}: Pick<GatewaySettings['bounds'], 'configurationLimitMs' | 'contactLimitMs'>): TableTiming => {
  const callLimitMs = Math.min(configurationLimitMs, contactLimitMs) * DROPPED_CALL_SHARE;
  const answerTimeoutMs = Math.floor(Math.min(MAX_ANSWER_TIMEOUT_MS, callLimitMs / 2));
  return {
    longPollMs: Math.floor(Math.min(MAX_OPERATOR_LONG_POLL_MS, callLimitMs - answerTimeoutMs)),
    answerTimeoutMs,
    pollIntervalMs: 100,
    retryDelayMs: 250,
  };
};

/** Returns the age that only the copy of a node whose calls aren't answered reaches, in milliseconds. */
export const computeOverdueAgeMs = ({ longPollMs, pollIntervalMs }: TableTiming): number =>
  longPollMs + pollIntervalMs + OVERDUE_MARGIN_MS;
