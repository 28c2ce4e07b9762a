import { chooseItem, type Logger, type NodeId, type Random, type Region } from '@lovagearch/common';
import type { PeerMesh } from '@lovagearch/peering';
import type { Vm, VmListClient } from '@lovagearch/platform-client';
import { MAX_VM_CHANGES, NODE_TOPICS, vmChangesSchema, type VmChanges } from './nodeTopics.js';
import { NodeTimer } from './nodeTimer.js';
import type { NodeIdentity, NodePart } from './types.js';
import { computeReadIntervalMs, listVmChanges, mergeVmChanges } from './vmChanges.js';

/** Relative jitter of the interval, so that nodes started together do not read in step. */
const INTERVAL_JITTER = 0.2;

export interface NodeVmListOptions {
  readonly identity: NodeIdentity;
  readonly client: VmListClient;
  readonly mesh: PeerMesh;
  readonly random: Random;
  readonly log: Logger;
  readonly listActive: (region?: Region) => readonly NodeId[];
  readonly listRegions: () => readonly Region[];
  readonly apply: (vms: readonly Vm[]) => void;
}

/**
 * Polls the VM list and sends its changes to the other nodes. While the list can't be read, the
 * last known one stays in use.
 */
export class NodeVmList implements NodePart {
  private isAvailable = true;

  private vms: readonly Vm[] | undefined;

  private timer: NodeTimer | undefined;

  private constructor(private readonly options: NodeVmListOptions) {}

  static start(options: NodeVmListOptions): NodeVmList {
    const part = new NodeVmList({ ...options, log: options.log.withTag('vms') });
    options.mesh.registerHandler(NODE_TOPICS.vms, vmChangesSchema, (_from, changes) =>
      part.handleChanges(changes),
    );
    part.timer = NodeTimer.start(
      () => part.read(),
      () => part.getIntervalMs(),
      part.options.log,
    );
    return part;
  }

  readonly stop = async (): Promise<void> => {
    await this.timer?.stop();
  };

  private async read(): Promise<void> {
    const { apply, client, log } = this.options;
    const read = await client.read();
    if (read.isErr()) {
      if (this.isAvailable) log.warn('Failed to read the VM list; using the last known one.');
      this.isAvailable = false;
      return;
    }
    this.isAvailable = true;
    // The nodes that were running before already know what the first read returns.
    const changes = this.vms === undefined ? [] : listVmChanges(this.vms, read.value);
    this.vms = read.value;
    apply(read.value);
    if (changes.length > 0) this.sendToAll(changes.slice(0, MAX_VM_CHANGES));
  }

  private handleChanges({ hop, vms }: VmChanges): void {
    if (this.vms === undefined) return;
    const changes = listVmChanges(this.vms, vms);
    if (changes.length === 0) return;
    this.vms = mergeVmChanges(this.vms, changes);
    this.options.apply(this.vms);
    if (hop === 'system') this.sendToRegion(changes);
  }

  private sendToAll(changes: readonly Vm[]): void {
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
