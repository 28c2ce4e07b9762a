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

/** Demand for one account on one node: prompt tokens/s and concurrent requests. */
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
 * Computes the interval between two demand messages, in milliseconds. It is 0.5 s in a small region
 * and longer where messages to all members would exceed 1.5 KB/s (about 6 s with 58 nodes).
 */
export const computeDemandIntervalMs = (nodes: number): number => {
  const bytes = (nodes - 1) * (DEMAND_MESSAGE_OVERHEAD_BYTES + MIN_DEMAND_ROWS * DEMAND_ROW_BYTES);
  return Math.max(MIN_DEMAND_INTERVAL_MS, (bytes / DEMAND_BYTES_PER_SECOND) * MS_PER_SECOND);
};

/** Computes the maximum number of rows in a message that keeps a node below 1.5 KB/s. */
export const computeMaxDemandRows = (nodes: number): number => {
  const peers = Math.max(1, nodes - 1);
  const bytes = (DEMAND_BYTES_PER_SECOND * computeDemandIntervalMs(nodes)) / MS_PER_SECOND / peers;
  const rows = Math.floor((bytes - DEMAND_MESSAGE_OVERHEAD_BYTES) / DEMAND_ROW_BYTES);
  return Math.max(MIN_DEMAND_ROWS, Math.min(MAX_DEMAND_ROWS, rows));
};

/** Last demand reported by each other node of the region. */
export class DemandTable {
  private readonly byNode = BoundedMap.create<NodeId, NodeDemand>(MAX_DEMAND_NODES);

  static create(): DemandTable {
    return new DemandTable();
  }

  /** Replaces the previous report of a node. */
  update(node: NodeId, rows: readonly DemandRow[], nowMs: number): void {
    const kept = rows.slice(0, MAX_DEMAND_ROWS).map((row) => [row.account, row] as const);
    this.byNode.set(node, { atMs: nowMs, rows: new Map(kept) });
  }

  /** Returns whether at least half of the other members reported within `DEMAND_MAX_AGE_MS`. */
  hasRecentReports(otherMembers: readonly NodeId[], nowMs: number): boolean {
    let recentCount = 0;
    for (const member of otherMembers) {
      const atMs = this.byNode.peek(member)?.atMs ?? -Infinity;
      if (nowMs - atMs <= DEMAND_MAX_AGE_MS) recentCount++;
    }
    return recentCount * 2 >= otherMembers.length;
  }

  /** Lists an account's demand on the other members, in one of its two measures. */
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
