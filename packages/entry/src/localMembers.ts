import { toId, type Logger, type NodeId, type Region } from '@lovagearch/common';
import type { PeerMesh } from '@lovagearch/peering';
import type { VmListClient } from '@lovagearch/platform-client';
import type { NodeIdentity, NodePart } from './types.js';

const POLL_INTERVAL_MS = 1_000;

/** The entry VMs of the VM list as members, without a failure detector. */
export class LocalMembers implements NodePart {
  private regionsByNode: ReadonlyMap<NodeId, Region>;

  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly self: NodeIdentity,
    private readonly mesh: PeerMesh,
    private readonly vmList: VmListClient,
    private readonly log: Logger,
  ) {
    this.regionsByNode = new Map([[self.id, self.region]]);
  }

  static async start(
    self: NodeIdentity,
    mesh: PeerMesh,
    vmList: VmListClient,
    log: Logger,
  ): Promise<LocalMembers> {
    const members = new LocalMembers(self, mesh, vmList, log);
    await members.refresh();
    members.timer = setInterval(() => {
      members.refresh().catch(() => log.error('Reading the members failed.'));
    }, POLL_INTERVAL_MS);
    return members;
  }

  readonly listLive = (region?: Region): readonly NodeId[] =>
    [...this.regionsByNode]
      .filter(([, of]) => region === undefined || of === region)
      .map(([node]) => node);

  readonly listRegions = (): readonly Region[] => [...new Set(this.regionsByNode.values())];

  readonly stop = async (): Promise<void> => {
    clearInterval(this.timer);
  };

  private async refresh(): Promise<void> {
    const vms = await this.vmList.read();
    if (vms.isErr()) return;
    const next = new Map<NodeId, Region>([[this.self.id, this.self.region]]);
    for (const { id, role, state, host, ports, region } of vms.value) {
      if (role !== 'entry' || state !== 'live') continue;
      next.set(toId<NodeId>(id), toId<Region>(region));
      this.mesh.setAddress(toId<NodeId>(id), `${host}:${ports.peer ?? 0}`);
    }
    this.regionsByNode = next;
    this.log.debug(`${next.size} members.`);
  }
}
