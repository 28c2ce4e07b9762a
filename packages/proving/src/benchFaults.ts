import { assertNever } from '@lovagearch/common';
import type { BenchCluster } from './benchCluster.js';
import { LINK_BYTES_PER_SECOND } from './benchDeployments.js';

/** A fault in the middle of a run at the design load. */
export type BenchFault = 'link_halved' | 'store_lost' | 'table_out' | 'zone_cut';

export const FAULTS: readonly BenchFault[] = ['store_lost', 'zone_cut', 'link_halved', 'table_out'];

/** Pauses the endpoints of the second zone; towards other zones this looks like a silent network. */
const setZoneSignal = ({ cluster, deployment }: BenchCluster, signal: NodeJS.Signals): void => {
  const zone = deployment.zones[1]?.zone;
  for (const vm of cluster.vms.values()) {
    if (vm.zone === zone && vm.role !== 'entry') vm.process.kill(signal);
  }
};

/** Starts a fault. */
export const startFault = async (bench: BenchCluster, fault: BenchFault): Promise<void> => {
  switch (fault) {
    case 'store_lost':
      bench.cluster.getVm(`store-${bench.deployment.regions[0]}`).process.kill('SIGKILL');
      return;
    case 'zone_cut':
      setZoneSignal(bench, 'SIGSTOP');
      return;
    case 'link_halved':
      for (const link of bench.links.values()) link.setBandwidth(LINK_BYTES_PER_SECOND / 2);
      return;
    case 'table_out':
      await bench.cluster.setFaults('platform', { table: 'down' });
      return;
    default:
      assertNever(fault);
  }
};

/** Ends a fault; a lost store VM does not come back. */
export const stopFault = async (bench: BenchCluster, fault: BenchFault): Promise<void> => {
  switch (fault) {
    case 'store_lost':
      return;
    case 'zone_cut':
      setZoneSignal(bench, 'SIGCONT');
      return;
    case 'link_halved':
      for (const link of bench.links.values()) link.setBandwidth(LINK_BYTES_PER_SECOND);
      return;
    case 'table_out':
      await bench.cluster.setFaults('platform', {});
      return;
    default:
      assertNever(fault);
  }
};
