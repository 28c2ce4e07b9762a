import { MAX_CRASHES_WITHOUT_OUTPUT, type RequestCrash } from '@lovagearch/containment';
import type { Placement } from '@lovagearch/endpoints';
import { getEndpointStartKey } from './attempt.js';
import { recordColdAfterCrash } from './coldEndpoints.js';
import {
  CRASH_AFTER_OUTPUT_MS,
  CRASH_CONFIRMATION_MS,
  PUBLISHED_FINGERPRINT_LENGTH,
} from './constants.js';
import type { RoutedRequest } from './createAttempt.js';
import type { GatewayContext } from './gatewayContext.js';
import type { ChosenEndpoint } from './placeRequest.js';
import type { ReusePlan } from './reusePlan.js';
import { listSharedPartIds } from './sharedParts.js';
import { computeFingerprint } from './strikePublisher.js';
import type { RequestHead } from './types.js';

/** Share of the expected time of a transfer below which the endpoint had the parts and loaded nothing. */
const MIN_TRANSFER_TIME_SHARE = 0.5;

/**
 * Records how long the transfer of cached prompt parts from a store took, estimated from the time to the first byte.
 * A request for which a store was named only in case that its parts are missing counts too.
 */
export const recordTransferTime = (
  { clusterState, transferMeter, clock }: GatewayContext,
  head: RequestHead,
  { expectedMs, transferMs, storeTransferMs }: Placement,
  { fetchFrom }: ReusePlan,
  firstByteDelayMs: number,
): void => {
  const address = fetchFrom[Math.max(0, head.promptParts.length - 2)];
  if (address === undefined || storeTransferMs === 0) return;
  const stores = clusterState.trafficRules?.cacheStores ?? [];
  if (!stores.some((store) => store.address === address)) return;
  const nowMs = clock.nowMs();
  const nominalMs = storeTransferMs / transferMeter.getSlowdownFactor(address, nowMs);
  const measuredMs = firstByteDelayMs - (expectedMs - transferMs);
  if (measuredMs < nominalMs * MIN_TRANSFER_TIME_SHARE) return;
  transferMeter.recordTransfer(address, nominalMs, measuredMs, nowMs);
};

/** Records that an endpoint crashed with requests in flight or just answered, and publishes this to peers. */
const recordStrikes = (
  { clusterState, strikePublisher, log }: GatewayContext,
  strikes: readonly RequestCrash[],
  atMs: number,
): void => {
  for (const strike of strikes) {
    if (!strikePublisher.recordStrike(strike, atMs)) continue;
    const { fingerprint, endpointStart, hasOutput } = strike;
    log.logProblem('crash_counted', {
      fingerprint,
      endpointStart,
      hasOutput,
      crashes: clusterState.strikes.countCrashes(fingerprint, atMs),
    });
  }
};

/**
 * Records a crash of an endpoint that has closed a connection, unless another connection to it stays established: then
 * it merely lost an answer.
 *
 * @param strike the request on the connection, if there was one
 */
const recordLostConnection = (
  context: GatewayContext,
  endpointStart: string,
  strike: RequestCrash | undefined,
): void => {
  const { clock, pool, recentAnswers } = context;
  const isStrike = strike !== undefined || recentAnswers.hasAnswers(endpointStart);
  const id = endpointStart.slice(0, endpointStart.lastIndexOf('/'));
  const endpoint = context.clusterState.endpoints.findEndpoint(id);
  const atMs = clock.nowMs();
  setTimeout(() => {
    if (pool.hasEstablishedConnection(endpointStart)) return;
    // Another start in its place has registered since.
    if (endpoint !== undefined && getEndpointStartKey(endpoint) === endpointStart)
      recordColdAfterCrash(context, endpoint, atMs);
    if (!isStrike) return;
    const strikes: RequestCrash[] = strike === undefined ? [] : [strike];
    for (const fingerprint of recentAnswers.takeAnswers(endpointStart, atMs))
      strikes.push({ fingerprint, endpointStart, hasOutput: true });
    recordStrikes(context, strikes, atMs);
  }, CRASH_CONFIRMATION_MS).unref();
};

/** Records that an endpoint has closed a connection between two requests; one that leaves closes all of them. */
export const recordIdleConnectionLost = (context: GatewayContext, endpointStart: string): void => {
  const id = endpointStart.slice(0, endpointStart.lastIndexOf('/'));
  const endpoint = context.clusterState.endpoints.findEndpoint(id);
  if (endpoint === undefined || endpoint.statements.leaving.isAnnounced) return;
  if (endpoint.record.state === 'ready') recordLostConnection(context, endpointStart, undefined);
};

/** Records that an endpoint may have crashed because of a request. */
export const recordBrokenAttempt = (
  context: GatewayContext,
  { head, account, body }: RoutedRequest,
  { endpoint }: ChosenEndpoint,
  hasOutput: boolean,
): void => {
  const endpointStart = getEndpointStartKey(endpoint);
  const fingerprint = computeFingerprint(account?.name ?? '', head.path, body);
  recordLostConnection(context, endpointStart, { fingerprint, endpointStart, hasOutput });
};

/** Records that an endpoint answered a request completely. */
export const recordAnswer = (
  { clock, recentAnswers }: GatewayContext,
  { head, account, body }: RoutedRequest,
  { endpoint }: ChosenEndpoint,
): void =>
  recentAnswers.recordAnswer(
    getEndpointStartKey(endpoint),
    computeFingerprint(account?.name ?? '', head.path, body),
    clock.nowMs(),
  );

/** Counts the requests as sound whose endpoints have lived on after their answers. */
export const recordOutlivedAnswers = ({
  clock,
  clusterState,
  recentAnswers,
  strikePublisher,
}: Pick<GatewayContext, 'clock' | 'clusterState' | 'recentAnswers' | 'strikePublisher'>): void => {
  const { strikes } = clusterState;
  const nowMs = clock.nowMs();
  for (const { fingerprint, atMs } of recentAnswers.takeOutlived(nowMs)) {
    if (strikes.isEmpty || !strikes.recordCompletion(fingerprint, atMs)) continue;
    // Other nodes need to know only of requests that they may refuse.
    if (strikes.countCrashes(fingerprint, nowMs) >= MAX_CRASHES_WITHOUT_OUTPUT)
      strikePublisher.addAnswer(fingerprint, atMs);
  }
};

/**
 * Records that an endpoint broke off a request, for the search for prompt parts that crash endpoints.
 *
 * @param outputAgeMs time since the first output of the endpoint, in milliseconds
 */
export const recordInterruption = (
  { promptPartContainment }: GatewayContext,
  { head, account, body }: RoutedRequest,
  { endpoint }: ChosenEndpoint,
  outputAgeMs: number,
): void => {
  if (outputAgeMs >= CRASH_AFTER_OUTPUT_MS) return;
  promptPartContainment.recordInterruption(getEndpointStartKey(endpoint), {
    fingerprint: computeFingerprint(account?.name ?? '', head.path, body).slice(
      0,
      PUBLISHED_FINGERPRINT_LENGTH,
    ),
    partIds: listSharedPartIds(head),
  });
};

/**
 * Records the weight version of an endpoint that rejected a request because of other weights.
 *
 * @param version version that the endpoint reported; without it, the latest target version is assumed
 * @returns whether the request can be sent to the endpoint again
 */
export const recordWeightMismatch = (
  { clusterState }: GatewayContext,
  head: RequestHead,
  { endpoint }: ChosenEndpoint,
  version: number | undefined,
): boolean => {
  if (head.model === undefined) return false;
  const actualVersion = version ?? clusterState.findWeightTarget(head.model)?.version;
  if (actualVersion === undefined) return false;
  clusterState.recordEndpointWeights(endpoint.record.id, head.model, actualVersion);
  return true;
};
