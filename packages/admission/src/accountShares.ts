import { DEMAND_MAX_AGE_MS, MIN_EVEN_SHARE_RATIO, REPORTABLE_DEMAND_SHARE } from './constants.js';

/** Demand for one account on another node; its age is measured on this node's clock. */
export interface PeerDemand {
  readonly demand: number;
  readonly ageMs: number;
}

export interface AccountShareInput {
  /** Cluster-wide limit of the account: tokens/s or concurrent requests. */
  readonly limit: number;
  readonly liveNodes: number;
  /** Demand on this node, in the unit of the limit. */
  readonly ownDemand: number;
  /** Last known demand on each other node. */
  readonly peerDemands: readonly PeerDemand[];
  /** Whether enough other nodes sent a demand report within `DEMAND_MAX_AGE_MS`. */
  readonly hasRecentPeerReports: boolean;
}

/**
 * Returns whether a node reports its demand for an account to the other nodes: local use exceeds
 * half of an even share of the account's limit.
 */
export const isDemandReportable = (limit: number, liveNodes: number, ownDemand: number): boolean =>
  ownDemand > (REPORTABLE_DEMAND_SHARE * limit) / Math.max(1, liveNodes);

/**
 * Computes this node's share of an account's limit. The share is proportional to this node's part of
 * the total demand, but at least a quarter of an even share. Without recent reports from the other
 * nodes it is the even share.
 *
 * @returns the share in the unit of the limit
 * @example
 * computeAccountShare({
 *   limit: 100,
 *   liveNodes: 4,
 *   ownDemand: 30,
 *   peerDemands: [],
 *   hasRecentPeerReports: false,
 * }); // 25
 */
export const computeAccountShare = ({
  limit,
  liveNodes,
  ownDemand,
  peerDemands,
  hasRecentPeerReports,
}: AccountShareInput): number => {
  const nodes = Math.max(1, liveNodes);
  const evenShare = limit / nodes;
  if (!hasRecentPeerReports) return evenShare;
  let totalDemand = ownDemand;
  for (const { demand, ageMs } of peerDemands) {
    if (ageMs <= DEMAND_MAX_AGE_MS) totalDemand += Math.max(0, demand);
  }
  const demandShare = totalDemand > 0 ? (limit * ownDemand) / totalDemand : evenShare;
  return Math.max(demandShare, evenShare * MIN_EVEN_SHARE_RATIO);
};
