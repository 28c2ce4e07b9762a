import { getRendezvousOwners, MS_PER_SECOND } from '@lovagearch/common';
import { ASSUMED_NODE_COUNT } from '../coldShare.js';

/**
 * How many rejections a node may cause at a brittle endpoint. `allowed`: a number in any second. `probe`: none on
 * purpose; it sends where there is evident room, and otherwise once per interval on average.
 */
export type RejectionShare =
  | { readonly type: 'allowed'; readonly rejections: number }
  | {
      readonly type: 'probe';
      readonly intervalMs: number;
      /** Requests that all such nodes together send on average for each free slot in a load report. */
      readonly slotFactor: number;
    };

/** Share of the rejections that some of the nodes may cause, one each, if there are fewer rejections than nodes. */
const SHARING_NODES_SHARE = 0.75;
/** Share of the rejections that the probes of all other nodes together may cause; the same as for named limits. */
const PROBE_SHARE = 0.125;
/**
 * Requests for each free slot, per rejection that the endpoint bears in a second, and at most. The number is random, and
 * those for which there is no slot wait or are rejected.
 */
const SLOT_FACTOR_PER_REJECTION = 0.1;
const MAX_SLOT_FACTOR = 2;
/** Lower bound of the rejections per second that probes share, so that an endpoint that names 0 is still probed. */
const MIN_REJECTIONS_PER_S = 0.5;

/**
 * Divides the rejections that an endpoint bears in a second among the nodes without messages between them. If it bears
 * fewer than there are nodes, some of them, the same on all nodes, may cause one each.
 *
 * @param rejectionsPerS rejections that the endpoint bears in a second, of requests of all nodes together
 * @param nodeNames all nodes, including this one; undefined if this node does not know them yet, which then has no share
 * @example
 * const share = computeRejectionShare(10, 'i-7f3a', 'edge-1', ['edge-1', 'edge-2']);
 * // { type: 'allowed', rejections: 5 }
 */
export const computeRejectionShare = (
  rejectionsPerS: number,
  endpointId: string,
  nodeName: string,
  nodeNames: readonly string[] | undefined,
): RejectionShare => {
  const nodeCount = Math.max(1, nodeNames?.length ?? ASSUMED_NODE_COUNT);
  if (nodeNames !== undefined && rejectionsPerS >= nodeCount)
    return { type: 'allowed', rejections: Math.floor(rejectionsPerS / nodeCount) };
  const sharingCount =
    rejectionsPerS < 1 ? 0 : Math.max(1, Math.floor(rejectionsPerS * SHARING_NODES_SHARE));
  if (
    nodeNames !== undefined &&
    getRendezvousOwners(endpointId, nodeNames, sharingCount).includes(nodeName)
  )
    return { type: 'allowed', rejections: 1 };
  const probesPerS = Math.max(MIN_REJECTIONS_PER_S, rejectionsPerS) * PROBE_SHARE;
  return {
    type: 'probe',
    intervalMs: (Math.max(1, nodeCount - sharingCount) / probesPerS) * MS_PER_SECOND,
    slotFactor: Math.min(MAX_SLOT_FACTOR, rejectionsPerS * SLOT_FACTOR_PER_REJECTION),
  };
};
