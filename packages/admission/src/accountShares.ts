import { DEMAND_MAX_AGE_MS, MIN_EVEN_SHARE_RATIO, REPORTABLE_DEMAND_SHARE } from './constants.js';

/** Demand of one account on another node. The age is of this node's clock. */
export interface PeerDemand {
  readonly demand: number;
  readonly ageMs: number;
}

export interface AccountShareInput {
  /** Limit of the account over all nodes: tokens/s or requests at a time. */
  readonly limit: number;
  readonly liveNodes: number;
  /** Demand on this node, in the unit of the limit. */
  readonly ownDemand: number;
  /** Last known demands on other nodes. */
  readonly peerDemands: readonly PeerDemand[];
  /** Whether other nodes have been heard within the last cycles. */
  readonly hasRecentPeerReports: boolean;
}

/**
 * Tells whether an account's demand is exchanged between nodes: local use is over half of an even
 * part of its limit.
 */
export const isDemandReportable = (limit: number, liveNodes: number, ownDemand: number): boolean =>
  ownDemand > (REPORTABLE_DEMAND_SHARE * limit) / Math.max(1, liveNodes);

/**
 * Computes this node's share of an account's limit: in proportion to its part of the demand, at
 * least a quarter of an even part, and the even part while the other nodes are silent.
 *
 * @returns the share in the unit of the limit
 * @example
 * computeShare({ limit: 100, liveNodes: 4, ownDemand: 30, peers: [], isGridHeard: false }); // 25
 */
export const computeAccountShare = ({
  limit,
  liveNodes,
  ownDemand,
  peerDemands: peers,
  hasRecentPeerReports: isGridHeard,
}: AccountShareInput): number => {
  const nodes = Math.max(1, liveNodes);
  const evenShare = limit / nodes;
  if (!isGridHeard) return evenShare;
  let totalDemand = ownDemand;
  for (const { demand, ageMs } of peers) {
    if (ageMs <= DEMAND_MAX_AGE_MS) totalDemand += Math.max(0, demand);
  }
  const demandShare = totalDemand > 0 ? (limit * ownDemand) / totalDemand : evenShare;
  return Math.max(demandShare, evenShare * MIN_EVEN_SHARE_RATIO);
};
