import type { LinkEvidence, RelayChoice, RelayPeer, RelayResult } from '@lovagearch/relaying';
import type { RoutedRequest } from '../createAttempt.js';
import type { GatewayContext } from '../gatewayContext.js';
import type { RelayOutcome } from './relaySend.js';

/** Why no peer takes a request. `tries`: several were asked. `time`: too little is left. */
export type RelayReason = Extract<RelayChoice, { type: 'none' }>['reason'] | 'time' | 'tries';

interface RelayedFields {
  readonly peer: RelayPeer;
  readonly evidence: LinkEvidence;
  readonly outcome: RelayOutcome;
  readonly result: RelayResult | undefined;
  readonly elapsedMs: number;
}

const getReason = (outcome: RelayOutcome): string | undefined => {
  switch (outcome.type) {
    case 'broken':
    case 'not_sent':
      return outcome.reason;
    case 'replied':
      return outcome.reply.result;
    case 'unmarked':
      return `status ${outcome.status}`;
    case 'served':
    case 'stopped':
      return undefined;
    default:
      return outcome satisfies never;
  }
};

/** Logs what became of a request at the peer that it was offered to. */
export const logRelayed = (
  { log, metrics }: GatewayContext,
  { head, service }: RoutedRequest,
  { peer, evidence, outcome, result, elapsedMs }: RelayedFields,
): void => {
  metrics.recordRelay(service, result ?? outcome.type);
  const fields = {
    request: head.requestId,
    service,
    peer: peer.name,
    peerZone: peer.zone,
    evidence,
    outcome: outcome.type,
    result,
    reason: getReason(outcome),
    elapsedMs: Math.round(elapsedMs),
  };
  if (outcome.type === 'served') log.logRequest('relayed', fields);
  else log.logProblem('relayed', fields);
};

/** Logs that no peer took a request that this node can't send to an endpoint. */
export const logNotRelayed = (
  { log, metrics }: GatewayContext,
  { head, service }: RoutedRequest,
  fields: {
    readonly reason: RelayReason;
    readonly retryInMs: number | undefined;
    readonly offeredTo: readonly string[];
  },
): void => {
  metrics.recordRelay(service, `none_${fields.reason}`);
  log.logProblem('not_relayed', { request: head.requestId, service, ...fields });
};
