import type { Placement } from '@lovagearch/endpoints';
import { getEndpointStartKey } from './attempt.js';
import { CRASH_AFTER_OUTPUT_MS, PUBLISHED_FINGERPRINT_LENGTH } from './constants.js';
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

/** Records that an endpoint may have crashed because of a request, and publishes this to peers. */
export const recordStrike = (
  { clusterState, strikePublisher, clock, log }: GatewayContext,
  { head, account, body }: RoutedRequest,
  { endpoint }: ChosenEndpoint,
): void => {
  const fingerprint = computeFingerprint(account?.name ?? '', head.path, body);
  const strike = { fingerprint, endpointStart: getEndpointStartKey(endpoint) };
  const nowMs = clock.nowMs();
  if (!clusterState.strikes.recordCrash(strike, nowMs)) return;
  strikePublisher.addStrike(strike);
  log.logProblem('crash_counted', {
    request: head.requestId,
    fingerprint,
    endpointStart: strike.endpointStart,
    crashes: clusterState.strikes.countCrashes(fingerprint, nowMs),
  });
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
