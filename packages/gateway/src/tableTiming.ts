import { MAX_RELAYED_COPY_AGE_MS, TABLE_RELAY_INTERVAL_MS } from './constants.js';
import type { GatewaySettings } from './types.js';

/** How a node follows a table of the store; see `MirrorFollowerOptions`. All times are in milliseconds. */
export interface TableTiming {
  readonly longPollMs: number;
  readonly answerTimeoutMs: number;
  readonly pollIntervalMs: number;
  readonly retryDelayMs: number;
}

/** The limits of a deployment from which the timings are derived. */
export type TableLimits = Pick<
  GatewaySettings['bounds'],
  'configurationLimitMs' | 'contactLimitMs' | 'endpointLeaveLimitMs' | 'evacuationLimitMs'
>;

/** Maximum time that a response of the store may take in addition to a long poll, in milliseconds. */
const MAX_ANSWER_TIMEOUT_MS = 900;

/**
 * Share of a change's time limit after which a node whose call was dropped sends the next one. The rest is
 * for the next call, the peers that read from this node, and a busy processor.
 */
const DROPPED_CALL_SHARE = 0.7;

/** Age beyond its usual maximum from which a copy counts as overdue, in milliseconds. */
const OVERDUE_MARGIN_MS = 300;

/** How often a table is read, apart from the limits of the deployment. All times are in milliseconds. */
interface ReadPace {
  readonly maxLongPollMs: number;
  readonly pollIntervalMs: number;
  readonly retryDelayMs: number;
}

/** Configuration changes are rare and urgent: a long poll with hardly a pause between two calls. */
const OPERATOR_TABLE_PACE: ReadPace = {
  maxLongPollMs: 2_000,
  pollIntervalMs: 100,
  retryDelayMs: 250,
};

/** Heartbeats change this table all the time and each call is billed, so changes are read in batches. */
const ENDPOINT_TABLE_PACE: ReadPace = {
  maxLongPollMs: 1_500,
  pollIntervalMs: 700,
  retryDelayMs: 250,
};

const SHARED_TABLE_PACE: ReadPace = {
  maxLongPollMs: 3_000,
  pollIntervalMs: 300,
  retryDelayMs: 400,
};

/**
 * Creates a timing in which long poll and timeout together end well within a change's time limit, because a
 * node can't distinguish a dropped call from one that waits for a change.
 */
const createTiming = (
  limitMs: number,
  { maxLongPollMs, pollIntervalMs, retryDelayMs }: ReadPace,
): TableTiming => {
  const callLimitMs = limitMs * DROPPED_CALL_SHARE;
  const answerTimeoutMs = Math.floor(Math.min(MAX_ANSWER_TIMEOUT_MS, callLimitMs / 2));
  const longPollMs = Math.floor(Math.min(maxLongPollMs, callLimitMs - answerTimeoutMs));
  return { longPollMs, answerTimeoutMs, pollIntervalMs, retryDelayMs };
};

/**
 * Returns the timing of the operator's table.
 *
 * @example
 * createOperatorTableTiming(settings.bounds).longPollMs;
 */
export const createOperatorTableTiming = (limits: TableLimits): TableTiming =>
  createTiming(
    Math.min(
      limits.configurationLimitMs,
      limits.contactLimitMs,
      limits.evacuationLimitMs ?? Number.POSITIVE_INFINITY,
    ),
    OPERATOR_TABLE_PACE,
  );

/** Returns the timing of the endpoints' registrations. */
export const createEndpointTableTiming = (limits: TableLimits): TableTiming =>
  createTiming(Math.min(limits.endpointLeaveLimitMs, limits.contactLimitMs), ENDPOINT_TABLE_PACE);

/** Returns the timing of the table that the nodes share. */
export const createSharedTableTiming = ({ contactLimitMs }: TableLimits): TableTiming =>
  createTiming(contactLimitMs, SHARED_TABLE_PACE);

/** Returns the age that only the copy of a node whose calls aren't answered reaches, in milliseconds. */
export const computeOverdueAgeMs = ({ longPollMs, pollIntervalMs }: TableTiming): number =>
  longPollMs + pollIntervalMs + OVERDUE_MARGIN_MS;

/**
 * Returns the age from which a node whose copies are relayed reads the store itself, in milliseconds. It
 * checks the age once per relay interval, and the read has to end within the time limit of a change.
 */
export const computeMaxRelayedAgeMs = (limits: TableLimits): number => {
  const limitMs = Math.min(
    limits.configurationLimitMs,
    limits.endpointLeaveLimitMs,
    limits.contactLimitMs,
    limits.evacuationLimitMs ?? Number.POSITIVE_INFINITY,
  );
  const lastCheckMs = limitMs - TABLE_RELAY_INTERVAL_MS - OVERDUE_MARGIN_MS;
  return Math.max(1, Math.min(MAX_RELAYED_COPY_AGE_MS, lastCheckMs));
};
