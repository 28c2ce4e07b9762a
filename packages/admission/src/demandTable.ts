import { BoundedMap, MS_PER_SECOND, type AccountId, type NodeId } from '@lovagearch/common';
import type { PeerDemand } from './accountShares.js';
import {
  DEMAND_BYTES_PER_SECOND,
  DEMAND_MESSAGE_OVERHEAD_BYTES,
  DEMAND_MAX_AGE_MS,
  DEMAND_ROW_BYTES,
  MAX_DEMAND_NODES,
  MAX_DEMAND_ROWS,
  MIN_DEMAND_INTERVAL_MS,
  MIN_DEMAND_ROWS,
} from './constants.js';

/** Demand of one account on one node: prompt tokens/s and requests at a time. */
export interface DemandRow {
  readonly account: AccountId;
  readonly tokensPerSecond: number;
  readonly concurrent: number;
}

interface NodeDemand {
  readonly atMs: number;
  readonly rows: ReadonlyMap<AccountId, DemandRow>;
}

/**
 * Computes the time between two demand messages, in milliseconds: 0.5 s in a small region, longer
 * where messages to all members would take more than 1.5 KB/s (about 6 s with 58 nodes).
 */
export const computeDemandIntervalMs = (nodes: number): number => {
  const bytes = (nodes - 1) * (DEMAND_MESSAGE_OVERHEAD_BYTES + MIN_DEMAND_ROWS * DEMAND_ROW_BYTES);
  return Math.max(MIN_DEMAND_INTERVAL_MS, (bytes / DEMAND_BYTES_PER_SECOND) * MS_PER_SECOND);
};

/** Computes how many rows a message may have so that a node stays below 1.5 KB/s. */
export const computeMaxDemandRows = (nodes: number): number => {
  const peers = Math.max(1, nodes - 1);
  const bytes = (DEMAND_BYTES_PER_SECOND * computeDemandIntervalMs(nodes)) / MS_PER_SECOND / peers;
  const rows = Math.floor((bytes - DEMAND_MESSAGE_OVERHEAD_BYTES) / DEMAND_ROW_BYTES);
  return Math.max(MIN_DEMAND_ROWS, Math.min(MAX_DEMAND_ROWS, rows));
};

/** The last demand that each other node of the region reported. */
export class DemandTable {
  private readonly byNode = BoundedMap.create<NodeId, NodeDemand>(MAX_DEMAND_NODES);

  static create(): DemandTable {
    return new DemandTable();
  }

  /** Replaces what a node reported before. */
  update(node: NodeId, rows: readonly DemandRow[], nowMs: number): void {
    const kept = rows.slice(0, MAX_DEMAND_ROWS).map((row) => [row.account, row] as const);
    this.byNode.set(node, { atMs: nowMs, rows: new Map(kept) });
  }

  /** Tells whether at least half of the other members were heard lately. */
  hasRecentReports(otherMembers: readonly NodeId[], nowMs: number): boolean {
    let heard = 0;
    for (const member of otherMembers) {
      const atMs = this.byNode.peek(member)?.atMs ?? -Infinity;
      if (nowMs - atMs <= DEMAND_MAX_AGE_MS) heard++;
    }
    return heard * 2 >= otherMembers.length;
  }

  /** Returns one measure of an account's demand on the other members. */
  listDemands(
    account: AccountId,
    measure: 'concurrent' | 'tokensPerSecond',
    otherMembers: readonly NodeId[],
    nowMs: number,
  ): PeerDemand[] {
    const demands: PeerDemand[] = [];
    for (const member of otherMembers) {
      const known = this.byNode.peek(member);
      const row = known?.rows.get(account);
      if (known === undefined || row === undefined) continue;
      demands.push({ demand: row[measure], ageMs: nowMs - known.atMs });
    }
    return demands;
  }
}
