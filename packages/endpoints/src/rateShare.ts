import { getRendezvousOwners, MS_PER_SECOND } from '@lovagearch/common';

/**
 * How often a node may send to an endpoint that names a limit. `paced`: at most once per interval.
 * `probe`: once per interval on average, to notice that the limit was lifted.
 */
export type RateShare =
  | { readonly type: 'paced'; readonly intervalMs: number }
  | { readonly type: 'probe'; readonly intervalMs: number };

/**
 * Nodes that share a limit, beside one for each request per second. Each of them may send one request at
 * any moment, so their number bounds the burst that reaches the endpoint.
 */
const MIN_SHARING_NODES = 3;
/** Share of the limit that all other nodes together use to probe. */
const PROBE_SHARE = 0.125;
/** Lower bound of a limit, in requests per second, so that an endpoint that names 0 is still probed. */
const MIN_LIMIT_PER_S = 0.05;

/**
 * Divides an endpoint's limit among the nodes without messages between them. A few nodes, the same on all
 * nodes, share it; with equal shares for many nodes, each could send a first request at the same time.
 *
 * @param limitPerS requests per second that the endpoint accepts from all nodes together
 * @param nodeNames all nodes, including this one
 * @example
 * const share = computeRateShare(2.5, 'i-7f3a', 'edge-1', ['edge-1', 'edge-2']);
 */
export const computeRateShare = (
  limitPerS: number,
  endpointId: string,
  nodeName: string,
  nodeNames: readonly string[],
): RateShare => {
  const ratePerS = Math.max(MIN_LIMIT_PER_S, limitPerS);
  const sharingCount = Math.min(
    Math.max(1, nodeNames.length),
    MIN_SHARING_NODES + Math.floor(ratePerS),
  );
  const isSharing =
    sharingCount >= nodeNames.length ||
    getRendezvousOwners(endpointId, nodeNames, sharingCount).includes(nodeName);
  if (isSharing) return { type: 'paced', intervalMs: (sharingCount / ratePerS) * MS_PER_SECOND };
  const probingCount = nodeNames.length - sharingCount;
  const intervalMs = (probingCount / (ratePerS * PROBE_SHARE)) * MS_PER_SECOND;
  return { type: 'probe', intervalMs };
};
