import type { ColdLimit, Endpoint } from '@lovagearch/endpoints';
import { DEFAULT_COLD_OVERAGE, DEFAULT_COLD_SLACK } from './constants.js';
import type { GatewayContext } from './gatewayContext.js';
import type { ResponseHead } from './types.js';

/** Returns what an endpoint bears while it is cold; undefined if it is warm or its service has no such limit. */
export const findColdLimit = (
  { clock, clusterState, settings }: Pick<GatewayContext, 'clock' | 'clusterState' | 'settings'>,
  { record, statements }: Endpoint,
): ColdLimit | undefined => {
  if (!statements.coldness.isCold(clock.nowMs())) return undefined;
  const coldStart = clusterState.trafficRules?.findService(record.service)?.coldStart;
  if (coldStart === undefined) return undefined;
  const { coldOverage = DEFAULT_COLD_OVERAGE, coldSlack = DEFAULT_COLD_SLACK } = settings.bounds;
  const { requestsPerS } = coldStart;
  return { requestsPerS, maxRequestsInSecond: requestsPerS * coldOverage + coldSlack };
};

/** Records lost connections to an endpoint that look like a crash. */
export const recordColdAfterCrash = (
  { clusterState }: GatewayContext,
  endpoint: Endpoint,
  atMs: number,
): void => {
  const { record, statements } = endpoint;
  if (clusterState.trafficRules?.findService(record.service)?.coldStart === undefined) return;
  statements.coldness.recordCrash(record.heartbeat, atMs);
};

/** Applies what a response of an endpoint shows about its coldness. */
export const recordColdResponse = (
  { clock, clusterState }: GatewayContext,
  { record, statements }: Endpoint,
  head: ResponseHead,
  sentAtMs: number,
): void => {
  const coldStart = clusterState.trafficRules?.findService(record.service)?.coldStart;
  if (coldStart === undefined) return;
  const isSuccess = head.status < 500 && !head.isNotRun && !head.isMisdirected;
  statements.coldness.recordResponse(
    head.coldRemainingMs,
    isSuccess,
    coldStart.durationMs,
    sentAtMs,
    clock.nowMs(),
  );
};

/** Logs each endpoint that has become cold or warm since the last call, and returns the number of cold ones. */
export const logColdChanges = ({
  clock,
  clusterState,
  log,
}: Pick<GatewayContext, 'clock' | 'clusterState' | 'log'>): number => {
  const nowMs = clock.nowMs();
  let coldCount = 0;
  for (const { record, statements } of clusterState.endpoints.listAll()) {
    if (clusterState.trafficRules?.findService(record.service)?.coldStart === undefined) continue;
    if (statements.coldness.isCold(nowMs)) coldCount += 1;
    const change = statements.coldness.takeChange(nowMs);
    if (change === undefined) continue;
    const { type, ...fields } = change;
    const { id, service, zone } = record;
    log.logStateChange(`endpoint_${type}`, { endpoint: id, service, zone, ...fields });
  }
  return coldCount;
};
