import type { Vm } from '@lovagearch/platform-client';

/** Bytes of one VM in the list, as the platform sends it (docs/CAPACITY.md). */
const VM_BYTES = 160;
/** Bytes a second that a node spends on the VM list; part of its 6 KB/s for control. */
const READ_BYTES_PER_SECOND = 1_024;
/** Shortest time between two reads of a node. */
export const MIN_READ_INTERVAL_MS = 2_000;
const MS_PER_SECOND = 1_000;

const isSameAddress = (a: Vm, b: Vm): boolean => a.host === b.host && a.ports.main === b.ports.main;

/** Whether a VM is new, moved or leaving. A list that lags must not bring a leaving VM back. */
const isNews = (vm: Vm, known: Vm | undefined): boolean =>
  known === undefined ||
  (known.state === 'live' && vm.state === 'leaving') ||
  (known.state === vm.state && !isSameAddress(vm, known));

const getById = (vms: readonly Vm[]): Map<string, Vm> => new Map(vms.map((vm) => [vm.id, vm]));

/** Lists the VMs that other nodes should hear of. Those that are gone are left to their reads. */
export const listVmChanges = (known: readonly Vm[], read: readonly Vm[]): Vm[] => {
  const byId = getById(known);
  return read.filter((vm) => isNews(vm, byId.get(vm.id)));
};

/** Adds what another node read to the known list. */
export const mergeVmChanges = (known: readonly Vm[], changes: readonly Vm[]): Vm[] => {
  const byId = getById(known);
  for (const vm of changes) if (isNews(vm, byId.get(vm.id))) byId.set(vm.id, vm);
  return [...byId.values()];
};

/**
 * Computes the time between two reads of a node, in milliseconds: 2 s in a small system. In a large
 * one the nodes share the work, so that one of them reads about every 2 s and tells the others.
 */
export const computeReadIntervalMs = (vmCount: number, nodes: number): number => {
  const affordableMs = (vmCount * VM_BYTES * MS_PER_SECOND) / READ_BYTES_PER_SECOND;
  return Math.max(MIN_READ_INTERVAL_MS, Math.min(affordableMs, nodes * MIN_READ_INTERVAL_MS));
};
