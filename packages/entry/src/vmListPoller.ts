import { chooseItem, type Logger, type NodeId, type Random, type Region } from '@lovagearch/common';
import type { PeerMesh } from '@lovagearch/peering';
import type { Vm, VmListClient } from '@lovagearch/platform-client';
import { MAX_VM_CHANGES, NODE_TOPICS, vmChangesSchema, type VmChanges } from './nodeTopics.js';
import { PeriodicTask } from './periodicTask.js';
import type { NodeIdentity, NodeComponent } from './types.js';
import { computeReadIntervalMs, listVmChanges, mergeVmChanges } from './vmChanges.js';

/** Relative jitter of the interval, so that nodes started together do not read in step. */
const INTERVAL_JITTER = 0.2;

export interface VmListPollerOptions {
  readonly identity: NodeIdentity;
  readonly client: VmListClient;
  readonly mesh: PeerMesh;
  readonly random: Random;
  readonly log: Logger;
  readonly listActive: (region?: Region) => readonly NodeId[];
  readonly listRegions: () => readonly Region[];
  readonly handleVms: (vms: readonly Vm[]) => void;
}

/**
 * Polls the VM list and sends its changes to the other nodes. While the list can't be read, the
 * last known one stays in use.
 */
export class VmListPoller implements NodeComponent {
  private isVmListAvailable = true;

  private vms: readonly Vm[] | undefined;

  private timer: PeriodicTask | undefined;

  private constructor(private readonly options: VmListPollerOptions) {}

  static start(options: VmListPollerOptions): VmListPoller {
    const poller = new VmListPoller({ ...options, log: options.log.withTag('vms') });
    options.mesh.registerHandler(NODE_TOPICS.vms, vmChangesSchema, (_from, changes) =>
      poller.handleChanges(changes),
    );
    poller.timer = PeriodicTask.start(
      () => poller.poll(),
      () => poller.getIntervalMs(),
      poller.options.log,
    );
    return poller;
  }

  readonly stop = async (): Promise<void> => {
    await this.timer?.stop();
  };

  private async poll(): Promise<void> {
    const { handleVms, client, log } = this.options;
    const read = await client.read();
    if (read.isErr()) {
      if (this.isVmListAvailable) log.warn('Failed to read the VM list; using the last known one.');
      this.isVmListAvailable = false;
      return;
    }
    this.isVmListAvailable = true;
    // The nodes that were running before already know what the first read returns.
    const changes = this.vms === undefined ? [] : listVmChanges(this.vms, read.value);
    this.vms = read.value;
    handleVms(read.value);
    if (changes.length > 0) this.sendToAllNodes(changes.slice(0, MAX_VM_CHANGES));
  }

  private handleChanges({ hop, vms }: VmChanges): void {
    if (this.vms === undefined) return;
    const changes = listVmChanges(this.vms, vms);
    if (changes.length === 0) return;
    this.vms = mergeVmChanges(this.vms, changes);
    this.options.handleVms(this.vms);
    if (hop === 'system') this.sendToRegion(changes);
  }

  private sendToAllNodes(changes: readonly Vm[]): void {
    const { identity, listActive, listRegions, mesh, random } = this.options;
    this.sendToRegion(changes);
    for (const region of listRegions()) {
      const node = region === identity.region ? undefined : chooseItem(listActive(region), random);
      if (node !== undefined) mesh.send(node, NODE_TOPICS.vms, { hop: 'system', vms: changes });
    }
  }

  private sendToRegion(vms: readonly Vm[]): void {
    const { identity, listActive, mesh } = this.options;
    for (const node of listActive(identity.region)) {
      if (node !== identity.id) mesh.send(node, NODE_TOPICS.vms, { hop: 'region', vms });
    }
  }

  private getIntervalMs(): number {
    const { listActive, random } = this.options;
    const factor = 1 + INTERVAL_JITTER * (2 * random() - 1);
    return factor * computeReadIntervalMs(this.vms?.length ?? 0, listActive().length);
  }
}
