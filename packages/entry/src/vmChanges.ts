import type { Vm } from '@lovagearch/platform-client';

/** Size of one VM in the list that the platform sends, in bytes (docs/CAPACITY.md). */
const VM_ENTRY_BYTES = 160;
/** A node's budget for reading the VM list; part of its 6 KB/s for control traffic. */
const READ_BUDGET_BYTES_PER_SECOND = 1_024;
/** Shortest time between two reads by a node. */
export const MIN_READ_INTERVAL_MS = 2_000;
const MS_PER_SECOND = 1_000;

const isSameAddress = (a: Vm, b: Vm): boolean => a.host === b.host && a.ports.main === b.ports.main;

/**
 * Tells whether a VM is new, has moved or is now leaving. An outdated list must not put a leaving
 * VM back into use.
 */
const isRelevantChange = (vm: Vm, known: Vm | undefined): boolean =>
  known === undefined ||
  (known.state === 'live' && vm.state === 'leaving') ||
  (known.state === vm.state && !isSameAddress(vm, known));

const indexById = (vms: readonly Vm[]): Map<string, Vm> => new Map(vms.map((vm) => [vm.id, vm]));

/** Lists the changes to send to other nodes, which detect removed VMs by their own reads. */
export const listVmChanges = (known: readonly Vm[], read: readonly Vm[]): Vm[] => {
  const byId = indexById(known);
  return read.filter((vm) => isRelevantChange(vm, byId.get(vm.id)));
};

/** Merges changes that another node read into the known list. */
export const mergeVmChanges = (known: readonly Vm[], changes: readonly Vm[]): Vm[] => {
  const byId = indexById(known);
  for (const vm of changes) if (isRelevantChange(vm, byId.get(vm.id))) byId.set(vm.id, vm);
  return [...byId.values()];
};

/**
 * Computes the time between two reads by a node, in milliseconds: 2 s in a small system. In a large
 * one, the nodes share the reads: about every 2 s one of them reads the list and sends the changes.
 */
export const computeReadIntervalMs = (vmCount: number, nodeCount: number): number => {
  const affordableMs = (vmCount * VM_ENTRY_BYTES * MS_PER_SECOND) / READ_BUDGET_BYTES_PER_SECOND;
  return Math.max(MIN_READ_INTERVAL_MS, Math.min(affordableMs, nodeCount * MIN_READ_INTERVAL_MS));
};
