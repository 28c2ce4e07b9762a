import type { Placement } from '@lovagearch/endpoints';
import { getEndpointStartKey } from './attempt.js';
import type { RoutedRequest } from './createAttempt.js';
import type { GatewayContext } from './gatewayContext.js';
import type { ChosenEndpoint } from './placeRequest.js';
import type { ReusePlan } from './reusePlan.js';
import { computeFingerprint } from './strikePublisher.js';
import type { RequestHead } from './types.js';

/** Learns from the time to the first byte how fast the prompt's parts were brought from their store. */
export const recordTransferTime = (
  { transferMeter: transfers, clock }: GatewayContext,
  head: RequestHead,
  placement: Placement,
  { fetchFrom }: ReusePlan,
  firstByteDelayMs: number,
): void => {
  const address = fetchFrom[Math.max(0, head.promptParts.length - 2)];
  if (address === undefined || placement.transferMs === 0) return;
  const nonTransferMs = placement.expectedMs - placement.transferMs;
  const nowMs = clock.nowMs();
  const nominalTransferMs = placement.transferMs / transfers.getSlowdownFactor(address, nowMs);
  transfers.recordTransfer(
    address,
    nominalTransferMs,
    Math.max(0, firstByteDelayMs - nonTransferMs),
    nowMs,
  );
};

/** Records that an endpoint may have crashed under a request, and has peers told. */
export const recordStrike = (
  { clusterState: beliefs, strikePublisher: strikes, clock }: GatewayContext,
  { head, account, body }: RoutedRequest,
  { endpoint }: ChosenEndpoint,
): void => {
  const fingerprint = computeFingerprint(account?.name ?? '', head.path, body);
  const strike = { fingerprint, endpointStart: getEndpointStartKey(endpoint) };
  if (beliefs.strikes.recordCrash(strike, clock.nowMs())) strikes.addStrike(strike);
};

/**
 * Learns the weights of an endpoint that rejected a request for them.
 *
 * @param version what the endpoint said; without it, it has the weights that were named last
 * @returns whether the request may be sent there again
 */
export const recordWeightMismatch = (
  { clusterState: beliefs }: GatewayContext,
  head: RequestHead,
  { endpoint }: ChosenEndpoint,
  version: number | undefined,
): boolean => {
  if (head.model === undefined) return false;
  const actualVersion = version ?? beliefs.findWeightTarget(head.model)?.version;
  if (actualVersion === undefined) return false;
  beliefs.recordEndpointWeights(endpoint.record.id, head.model, actualVersion);
  return true;
};
