import { setTimeout as waitForTimer } from 'node:timers/promises';
import { type Clock, getRendezvousOwners } from '@lovagearch/common';
import type { TableMirror } from '@lovagearch/mirror';
import type { ClusterState } from './clusterState.js';
import {
  FIRST_COPY_INTERVAL_MS,
  FIRST_COPY_WAIT_MS,
  MAX_SOURCE_COPY_AGE_MS,
  SHARED_TABLE_WAIT_MS,
  TABLE_RELAY_INTERVAL_MS,
  ZONE_RELAY_INTERVAL_MS,
} from './constants.js';
import type { GatewayLog } from './gatewayLog.js';
import type { TableRelaySource } from './peerExchange.js';
import { SourceHealth } from './sourceHealth.js';
import { chooseTableRole, type TableNode, type TableRole } from './tableRole.js';

export interface TableRelayDependencies {
  readonly self: TableNode;
  readonly regionByZone: ReadonlyMap<string, string>;
  readonly clusterState: Pick<ClusterState, 'findPeer' | 'listPeers'>;
  readonly mirrors: readonly TableMirror[];
  /** The mirror of the table that names the nodes. */
  readonly sharedMirror: TableMirror;
  /** Age of the copies from which the node reads the store itself, in milliseconds. */
  readonly maxCopyAgeMs: number;
  readonly relay: TableRelaySource;
  readonly random: () => number;
  readonly clock: Clock;
  readonly log: Pick<GatewayLog, 'logStateChange'>;
  /** Timer, by default that of the process; simulations replace it. */
  readonly wait?: (delayMs: number) => Promise<void>;
}

/**
 * Keeps this node's copies of the store's tables in sync with those of its source, another node that reads the
 * store or copies from one that does. A source that fails or whose own copy is too old is replaced. Without a
 * working source the copies age until the mirror followers read the store themselves.
 */
export class TableRelay {
  private role: TableRole = { type: 'store_reader' };

  private source = '';

  private readonly health = SourceHealth.create();

  private readonly startMs: number;

  private isStopped = false;

  private constructor(private readonly dependencies: TableRelayDependencies) {
    this.startMs = dependencies.clock.nowMs();
  }

  static create(parts: TableRelayDependencies): TableRelay {
    return new TableRelay(parts);
  }

  /** Whether this node reads the store at the full rate. */
  get isStoreReader(): boolean {
    return this.role.type === 'store_reader';
  }

  /** Age up to which this node's copies are left to the relay; 0 if the node reads the store itself. */
  get maxRelayedAgeMs(): number {
    const { maxCopyAgeMs } = this.dependencies;
    switch (this.role.type) {
      case 'store_reader':
        return 0;
      case 'zone_relay':
        // A relay notices that the readers fail before its followers do, and reads for all of them.
        return Math.max(1, maxCopyAgeMs - TABLE_RELAY_INTERVAL_MS);
      case 'follower':
        return maxCopyAgeMs;
      default:
        return this.role satisfies never;
    }
  }

  /**
   * Whether this node has to read a table from the store now.
   *
   * @param copyAgeMs age of the node's copy, in milliseconds; infinite without one
   */
  isStoreReadDue(mirror: TableMirror, copyAgeMs: number): boolean {
    const { clock, sharedMirror } = this.dependencies;
    const runningMs = clock.nowMs() - this.startMs;
    if (mirror.version === 0 && mirror !== sharedMirror) {
      if (sharedMirror.version === 0) return runningMs >= SHARED_TABLE_WAIT_MS;
      this.updateRole();
      if (!this.isStoreReader) return runningMs >= FIRST_COPY_WAIT_MS;
    }
    return copyAgeMs >= this.maxRelayedAgeMs;
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Runs until `stop` is called. */
  async run(): Promise<void> {
    const { wait = waitForTimer } = this.dependencies;
    while (!this.isStopped) {
      await wait(this.getIntervalMs());
      this.updateRole();
      if (this.role.type !== 'store_reader') await this.copyFromSource(this.role.sources);
    }
  }

  private getIntervalMs(): number {
    const isIncomplete = this.dependencies.mirrors.some(({ version }) => version === 0);
    if (isIncomplete) return FIRST_COPY_INTERVAL_MS;
    return this.role.type === 'zone_relay' ? ZONE_RELAY_INTERVAL_MS : TABLE_RELAY_INTERVAL_MS;
  }

  private updateRole(): void {
    const { clock, clusterState, log, maxCopyAgeMs, regionByZone, self } = this.dependencies;
    const nowMs = clock.nowMs();
    const nodes: TableNode[] = [];
    for (const [name, { zone }] of clusterState.listPeers()) {
      if (name !== self.name && this.health.isExcluded(name, nowMs)) continue;
      nodes.push({ name, zone, region: regionByZone.get(zone) ?? zone });
    }
    const hasTimeForRelays = maxCopyAgeMs >= MAX_SOURCE_COPY_AGE_MS + TABLE_RELAY_INTERVAL_MS;
    const role = chooseTableRole({ self, nodes, hasTimeForRelays });
    if (role.type !== this.role.type)
      log.logStateChange('table_role_changed', {
        role: role.type,
        previous: this.role.type,
        nodes: nodes.length,
      });
    this.role = role;
  }

  private async copyFromSource(sources: readonly string[]): Promise<void> {
    const { clusterState, clock, mirrors, relay, self } = this.dependencies;
    if (!sources.includes(this.source)) {
      this.source = getRendezvousOwners(self.name, sources, 1)[0] ?? '';
    }
    const address = clusterState.findPeer(this.source)?.address;
    const sentMs = clock.nowMs();
    const response =
      address === undefined
        ? 'its address is unknown'
        : await relay(
            address,
            mirrors.map(({ table, version, era }) => ({ table, version, era })),
          );
    if (typeof response === 'string') {
      this.health.recordFailure(this.source, clock.nowMs());
      this.leaveSource(sources, response);
      return;
    }
    this.health.recordSuccess(this.source);
    let failure: string | undefined;
    for (const mirror of mirrors) {
      const batch = response.get(mirror.table);
      if (batch === undefined) {
        failure ??= `it has no copy of ${mirror.table}`;
        continue;
      }
      if (batch.ageMs > MAX_SOURCE_COPY_AGE_MS) {
        failure ??= `its copy of ${mirror.table} is ${Math.round(batch.ageMs)} ms old`;
        // A restarted node would use keys and endpoints that were removed since; the store may be reachable.
        if (mirror.version === 0) continue;
      }
      // `sentMs` instead of the current time, so that the time in transit counts as age.
      mirror.applyBatch(batch, sentMs);
    }
    if (failure !== undefined) this.leaveSource(sources, failure);
  }

  private leaveSource(sources: readonly string[], reason: string): void {
    const { log, random } = this.dependencies;
    log.logStateChange('table_reader_left', { reader: this.source, reason });
    const others = sources.filter((name) => name !== this.source);
    this.source = others[Math.floor(random() * others.length)] ?? this.source;
  }
}
