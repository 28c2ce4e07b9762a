import { setTimeout as waitMs } from 'node:timers/promises';
import { type Clock, getRendezvousOwners } from '@lovagearch/common';
import type { TableMirror } from '@lovagearch/mirror';
import type { ClusterState } from './clusterState.js';
import {
  READERS_PER_ZONE,
  MAX_READER_COPY_AGE_MS,
  MAX_RELAYED_COPY_AGE_MS,
  TABLE_RELAY_INTERVAL_MS,
  MAX_FULL_RATE_NODES,
} from './constants.js';
import type { GatewayLog } from './gatewayLog.js';
import type { TableRelaySource } from './peerExchange.js';

/** Key under which the nodes that read the store are chosen. */
const READER_KEY = 'tables';

export interface TableRelayDependencies {
  readonly nodeName: string;
  readonly zone: string;
  readonly clusterState: ClusterState;
  readonly mirrors: readonly TableMirror[];
  readonly relay: TableRelaySource;
  readonly random: () => number;
  readonly clock: Clock;
  readonly log: GatewayLog;
}

/**
 * Returns the nodes of an availability zone that read the store's tables for the others. It answers the
 * pattern of a deployment whose calls to the store grow with its nodes: they are limited and billed.
 *
 * @param names nodes of the zone
 * @returns an empty list if each node reads the store itself
 */
export const chooseReaders = (names: readonly string[], nodes: number): string[] => {
  if (nodes <= MAX_FULL_RATE_NODES) return [];
  return getRendezvousOwners(READER_KEY, names, READERS_PER_ZONE);
};

/**
 * Keeps this node's copies of the store's tables in step with a node of its zone that reads the store.
 * A reader that fails or whose own copy is old is replaced; without a good one the copies age, and the
 * followers read the store themselves.
 */
export class TableRelay {
  private readers: readonly string[] = [];

  private reader = '';

  private isStopped = false;

  private constructor(private readonly dependencies: TableRelayDependencies) {}

  static create(parts: TableRelayDependencies): TableRelay {
    return new TableRelay(parts);
  }

  /** Whether other nodes depend on this one's reads of the store. */
  get isReader(): boolean {
    return this.readers.includes(this.dependencies.nodeName);
  }

  /** Age up to which this node's copies are left to the relay; 0 if it reads the store itself. */
  get maxRelayedAgeMs(): number {
    return this.readers.length === 0 || this.isReader ? 0 : MAX_RELAYED_COPY_AGE_MS;
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
    const {
      clusterState: beliefs,
      clock,
      log,
      mirrors,
      nodeName,
      random,
      relay,
    } = this.dependencies;
    if (!this.readers.includes(this.reader)) {
      this.reader = getRendezvousOwners(nodeName, this.readers, 1)[0] ?? '';
    }
    const address = beliefs.findPeer(this.reader)?.address;
    const sentMs = clock.nowMs();
    const answer =
      address === undefined
        ? 'its address is not known'
        : await relay(
            address,
            mirrors.map(({ table, version }) => ({ table, version })),
          );
    let fault = typeof answer === 'string' ? answer : undefined;
    for (const mirror of mirrors) {
      const batch = typeof answer === 'string' ? undefined : answer.get(mirror.table);
      if (batch === undefined) {
        fault ??= `it has no copy of ${mirror.table}`;
        continue;
      }
      if (batch.ageMs > MAX_READER_COPY_AGE_MS) {
        fault ??= `its copy of ${mirror.table} is ${Math.round(batch.ageMs)} ms old`;
      }
      // The time on the way counts as age.
      mirror.applyBatch(batch, sentMs);
    }
    if (fault === undefined) return;
    log.logStateChange('table_reader_left', { reader: this.reader, reason: fault });
    this.reader = this.readers[Math.floor(random() * this.readers.length)] ?? '';
  }
}
