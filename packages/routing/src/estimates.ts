import { MS_PER_SECOND, TOKENS_PER_BLOCK } from '@lovagearch/common';
import {
  ACTIVE_SEQUENCE_COST_MS,
  RESPONSE_BYTES_PER_TOKEN,
  BATCH_SLOT_WAIT_MS,
  MAX_BATCH_SEQUENCES,
  IMPORT_LINK_SHARE,
  CROSS_REGION_ROUND_TRIP_MS,
  SAME_REGION_ROUND_TRIP_MS,
  SAME_ZONE_ROUND_TRIP_MS,
} from './constants.js';
import type { CachedPrefix, RoutingRequest, RunnerState, ServiceSpeeds } from './types.js';

/** Estimates the round-trip time between the node and a runner, in milliseconds. */
export const computeRoundTripMs = (request: RoutingRequest, runner: RunnerState): number => {
  if (runner.region !== request.region) return CROSS_REGION_ROUND_TRIP_MS;
  return runner.zone === request.zone ? SAME_ZONE_ROUND_TRIP_MS : SAME_REGION_ROUND_TRIP_MS;
};

/** Estimates the queueing delay of a new prompt at a runner, in milliseconds. */
export const computeQueueMs = (runner: RunnerState, speeds: ServiceSpeeds): number =>
  (runner.queuedPromptTokens * MS_PER_SECOND) / speeds.prefillTokensPerSecond +
  runner.activeSequences * ACTIVE_SEQUENCE_COST_MS +
  Math.max(0, runner.activeSequences + 1 - MAX_BATCH_SEQUENCES) * BATCH_SLOT_WAIT_MS;

/** Estimates the prefill time of prompt tokens, in milliseconds. */
export const computePrefillMs = (tokens: number, speeds: ServiceSpeeds): number =>
  (Math.max(0, tokens) * MS_PER_SECOND) / speeds.prefillTokensPerSecond;

/** Estimates the time to import KV blocks from a store VM of the runner's region, in milliseconds. */
export const computeImportMs = (blocks: number, speeds: ServiceSpeeds): number => {
  const bytes = blocks * TOKENS_PER_BLOCK * speeds.kvBytesPerToken;
  return (
    SAME_REGION_ROUND_TRIP_MS +
    (bytes * MS_PER_SECOND) / (speeds.storeBytesPerSecond * IMPORT_LINK_SHARE)
  );
};

/** Estimates the bytes of the prompt and response on the link between regions. */
export const computeLinkBytes = (request: RoutingRequest, runner: RunnerState): number =>
  runner.region === request.region
    ? 0
    : request.promptBytes + request.maxTokens * RESPONSE_BYTES_PER_TOKEN;

/** Returns the prompt tokens that remain to be computed after a cached prefix. */
export const getRemainingTokens = (
  request: RoutingRequest,
  prefix: CachedPrefix | undefined,
): number => Math.max(0, request.promptTokens - (prefix?.depth ?? 0) * TOKENS_PER_BLOCK);
