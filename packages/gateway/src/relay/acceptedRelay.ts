import type { IncomingMessage } from 'node:http';
import { decideRelayAdmission } from '@lovagearch/relaying';
import type { GatewayContext } from '../gatewayContext.js';
import { createRefusal, type LocalReply } from '../localReply.js';
import { FULL_RETRY_AFTER_MS } from './constants.js';
import {
  decodeRelayedDetails,
  FULL_RESULT,
  type RelayedDetails,
  RELAY_HEADER,
  restoreCallerHeaders,
} from './relayHeaders.js';

/** What this node does with a request that a peer passed on. */
export type RelayAcceptance =
  | {
      readonly type: 'accepted';
      readonly details: RelayedDetails;
      /** Headers as the caller sent them, as alternating names and values. */
      readonly rawHeaders: readonly string[];
    }
  | { readonly type: 'rejected'; readonly refusal: LocalReply; readonly result: string };

/** Whether a request on the address for peers is one of a caller that a peer passed on. */
export const isRelayedRequest = ({ headers }: IncomingMessage): boolean =>
  headers[RELAY_HEADER] !== undefined;

/**
 * Decides whether this node takes a request that a peer passed on.
 *
 * @example
 * const acceptance = acceptRelay(context, incoming);
 * if (acceptance.type === 'rejected') reply(acceptance.refusal);
 */
export const acceptRelay = (
  context: GatewayContext,
  { headers, rawHeaders }: IncomingMessage,
): RelayAcceptance => {
  const { relaying, bodyMemory, intake } = context;
  const details = decodeRelayedDetails(String(headers[RELAY_HEADER]));
  if (details === undefined) {
    const refusal = createRefusal('bad_request', `the header ${RELAY_HEADER} is malformed`);
    return { type: 'rejected', refusal, result: refusal.error.type };
  }
  const decision = decideRelayAdmission({
    relayedRequests: relaying.acceptedRequests,
    bodyMemoryShare: bodyMemory.reservedBytes / Math.max(1, bodyMemory.limitBytes),
    eventLoopDelayMs: intake.getReadDelayMs(),
  });
  switch (decision.type) {
    case 'take':
      return { type: 'accepted', details, rawHeaders: restoreCallerHeaders(rawHeaders, details) };
    case 'reject': {
      const message = `this node has no room for requests of its peers (${decision.reason})`;
      const refusal = createRefusal('overloaded', message, FULL_RETRY_AFTER_MS);
      return { type: 'rejected', refusal, result: FULL_RESULT };
    }
    default:
      return decision satisfies never;
  }
};
