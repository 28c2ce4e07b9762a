import { MS_PER_SECOND } from '@lovagearch/common';
import { computeRateShare, type RateShare } from './rateShare.js';
import { MAX_LATE_CREDIT_MS } from './requestRateLimit.js';

/**
 * Nodes that a node assumes which knows no others since its start. If all nodes of a large deployment (85) restart
 * together, their sum then stays below the rate; on its own, a node sends a hundredth of it.
 */
export const ASSUMED_NODE_COUNT = 100;

/**
 * Factor by which probes of a cold endpoint are rarer than those of one that names a limit: its registration says when
 * it is warm, so they only serve requests.
 */
const PROBE_INTERVAL_FACTOR = 2;

/** Part of the bound that is left for the probes of the other nodes and for nodes with another view of the members. */
const RESERVED_SHARE = 0.25;

/** What a cold endpoint bears from all nodes together. */
export interface ColdLimit {
  readonly requestsPerS: number;
  /** Requests in any one second above which it crashes. */
  readonly maxRequestsInSecond: number;
}

/**
 * Divides what a cold endpoint bears among the nodes without messages between them, like a limit that it names. In
 * addition, a node sends so few requests in any one second that all sharing ones together keep to the bound even if
 * they send at the same moments.
 *
 * @param nodeNames all nodes, including this one; undefined if this node does not know them yet
 * @example
 * const share = computeColdShare({ requestsPerS: 16, maxRequestsInSecond: 29 }, 'i-7f3a', 'edge-1', names);
 */
export const computeColdShare = (
  { requestsPerS, maxRequestsInSecond }: ColdLimit,
  endpointId: string,
  nodeName: string,
  nodeNames: readonly string[] | undefined,
): RateShare => {
  if (nodeNames === undefined)
    // Like a probe, an unused allowance lapses, or all nodes could send at the same moment after a silence.
    return { type: 'probe', intervalMs: (ASSUMED_NODE_COUNT / requestsPerS) * MS_PER_SECOND };
  const share = computeRateShare(requestsPerS, endpointId, nodeName, nodeNames);
  if (share.type === 'probe')
    return { type: 'probe', intervalMs: share.intervalMs * PROBE_INTERVAL_FACTOR };
  const sharingCount = (share.intervalMs / MS_PER_SECOND) * requestsPerS;
  const sharedRequests = maxRequestsInSecond * (1 - RESERVED_SHARE);
  const maxSends = Math.max(1, Math.floor(sharedRequests / sharingCount));
  const leastIntervalMs = MS_PER_SECOND / maxSends + MAX_LATE_CREDIT_MS;
  return { type: 'paced', intervalMs: Math.max(share.intervalMs, leastIntervalMs) };
};
