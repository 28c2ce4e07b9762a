import { setTimeout as waitMs } from 'node:timers/promises';
import { type Clock, getRendezvousOwners } from '@lovagearch/common';
import type { TableMirror } from '@lovagearch/mirror';
import type { ClusterState } from './clusterState.js';
import {
  READERS_PER_ZONE,
  MAX_READER_COPY_AGE_MS,
  TABLE_RELAY_INTERVAL_MS,
  MAX_FULL_RATE_NODES,
} from './constants.js';
import type { GatewayLog } from './gatewayLog.js';
import type { TableRelaySource } from './peerExchange.js';

/** Rendezvous hashing key for the choice of the readers. */
const READER_KEY = 'tables';

export interface TableRelayDependencies {
  readonly nodeName: string;
  readonly zone: string;
  readonly clusterState: ClusterState;
  readonly mirrors: readonly TableMirror[];
  /** Age of the copies from which the node reads the store itself, in milliseconds. */
  readonly maxCopyAgeMs: number;
  readonly relay: TableRelaySource;
  readonly random: () => number;
  readonly clock: Clock;
  readonly log: GatewayLog;
}

/**
 * Returns the nodes of an availability zone that read the store's tables for the others. If each node read
 * the store itself, the calls would grow with the number of nodes, and the store limits and bills them.
 *
 * @param names nodes of the zone
 * @param nodeCount nodes of the whole deployment
 * @returns an empty list if each node reads the store itself
 */
export const chooseReaders = (names: readonly string[], nodeCount: number): string[] => {
  if (nodeCount <= MAX_FULL_RATE_NODES) return [];
  return getRendezvousOwners(READER_KEY, names, READERS_PER_ZONE);
};

/**
 * Keeps this node's copies of the store's tables in sync with a reader, a node of its zone that reads the
 * store. A reader that fails or whose own copy is too old is replaced. Without a working reader the copies
 * age until the mirror followers read the store themselves.
 */
export class TableRelay {
  private readers: readonly string[] = [];

  private reader = '';

  private isStopped = false;

  private constructor(private readonly dependencies: TableRelayDependencies) {}

  static create(parts: TableRelayDependencies): TableRelay {
    return new TableRelay(parts);
  }

  /** Whether this node reads the store for other nodes. */
  get isReader(): boolean {
    return this.readers.includes(this.dependencies.nodeName);
  }

  /** Age up to which this node's copies are left to the relay; 0 if the node reads the store itself. */
  get maxRelayedAgeMs(): number {
    return this.readers.length === 0 || this.isReader ? 0 : this.dependencies.maxCopyAgeMs;
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Runs until `stop` is called. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      await waitMs(TABLE_RELAY_INTERVAL_MS);
      this.updateReaders();
      if (this.maxRelayedAgeMs > 0) await this.pullFromReader();
    }
  }

  private updateReaders(): void {
    const { clusterState, zone } = this.dependencies;
    const names: string[] = [];
    for (const [name, peer] of clusterState.listPeers()) if (peer.zone === zone) names.push(name);
    this.readers = chooseReaders(names, clusterState.nodeCount);
  }

  private async pullFromReader(): Promise<void> {
    const { clusterState, clock, log, mirrors, nodeName, random, relay } = this.dependencies;
    if (!this.readers.includes(this.reader)) {
      this.reader = getRendezvousOwners(nodeName, this.readers, 1)[0] ?? '';
    }
    const address = clusterState.findPeer(this.reader)?.address;
    const sentMs = clock.nowMs();
    const response =
      address === undefined
        ? 'its address is unknown'
        : await relay(
            address,
            mirrors.map(({ table, version }) => ({ table, version })),
          );
    let failure = typeof response === 'string' ? response : undefined;
    for (const mirror of mirrors) {
      const batch = typeof response === 'string' ? undefined : response.get(mirror.table);
      if (batch === undefined) {
        failure ??= `it has no copy of ${mirror.table}`;
        continue;
      }
      if (batch.ageMs > MAX_READER_COPY_AGE_MS) {
        failure ??= `its copy of ${mirror.table} is ${Math.round(batch.ageMs)} ms old`;
      }
      // `sentMs` instead of the current time, so that the time in transit counts as age.
      mirror.applyBatch(batch, sentMs);
    }
    if (failure === undefined) return;
    log.logStateChange('table_reader_left', { reader: this.reader, reason: failure });
    this.reader = this.readers[Math.floor(random() * this.readers.length)] ?? '';
  }
}
