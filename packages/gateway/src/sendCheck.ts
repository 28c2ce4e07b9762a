import { areRulesEqual } from '@lovagearch/traffic';
import { confirmBrittleSend } from './brittleness/brittleEndpoints.js';
import { findColdLimit } from './coldEndpoints.js';
import { MAX_COLD_SEND_DELAY_MS } from './constants.js';
import type { RoutedRequest } from './createAttempt.js';
import { isTakingRequests } from './endpointStatements.js';
import { isWithinRateLimit, recordSend } from './endpointRates.js';
import type { GatewayContext } from './gatewayContext.js';
import type { ChosenEndpoint } from './placeRequest.js';
import { findRegionRule } from './regionRules.js';

/**
 * Creates the check whether a request that waited for its connection may still be sent to the endpoint that was chosen
 * for it: the operator may have changed the home regions or evacuated the zone, and the endpoint may have become cold or
 * brittle, or have another software version.
 *
 * @example
 * const canSend = createSendCheck(context, routedRequest, chosen);
 * if (!canSend()) withdraw();
 */
export const createSendCheck = (
  context: GatewayContext,
  { head, route, account }: RoutedRequest,
  { endpoint, regionRule, softwareVersion }: ChosenEndpoint,
): (() => boolean) => {
  const { clock, clusterState } = context;
  const createdAtMs = clock.nowMs();
  const wasCold = findColdLimit(context, endpoint) !== undefined;
  /** Requests that waited for connections would arrive at a cold endpoint together. */
  const isWithinColdLimit = (): boolean => {
    if (findColdLimit(context, endpoint) === undefined) return true;
    if (wasCold && clock.nowMs() - createdAtMs <= MAX_COLD_SEND_DELAY_MS) return true;
    if (!isWithinRateLimit(context, endpoint)) return false;
    recordSend(context, endpoint);
    return true;
  };
  return () =>
    isTakingRequests(context, endpoint) &&
    endpoint.record.softwareVersion === softwareVersion &&
    !clusterState.evacuatedZones.has(endpoint.record.zone) &&
    areRulesEqual(findRegionRule(context, head, route, account), regionRule) &&
    isWithinColdLimit() &&
    confirmBrittleSend(context, endpoint, head.requestId);
};
