import t from 'tap';
import type { Vm } from '@lovagearch/platform-client';
import { computeReadIntervalMs, listVmChanges, mergeVmChanges } from './vmChanges.js';

const createVm = (id: string, state: Vm['state'], host = id): Vm => ({
  id,
  role: 'runner',
  service: 'estimator',
  host,
  ports: { main: 1 },
  zone: 'zone-1',
  region: 'north',
  state,
});

t.test('a list that lags brings no leaving VM back and removes none', async (t2) => {
  const known = [createVm('a', 'leaving'), createVm('b', 'live')];
  t2.same(listVmChanges(known, [createVm('a', 'live')]), []);
  t2.same(mergeVmChanges(known, [createVm('a', 'live')]), known);
});

t.test('new, moved and leaving VMs are told to the other nodes', async (t2) => {
  const known = [createVm('a', 'live'), createVm('b', 'live'), createVm('c', 'live')];
  const changes = [createVm('a', 'leaving'), createVm('b', 'live', 'other'), createVm('d', 'live')];
  t2.same(listVmChanges(known, [...changes, createVm('c', 'live')]), changes);
  t2.same(listVmChanges(mergeVmChanges(known, changes), changes), []);
});

t.test('reads of the VM list neither exceed the budget nor leave the system blind', async (t2) => {
  t2.equal(computeReadIntervalMs(0, 1), 2_000);
  t2.equal(computeReadIntervalMs(3_850, 1), 2_000);
  const intervalMs = computeReadIntervalMs(3_850, 350);
  t2.ok((3_850 * 160) / (intervalMs / 1_000) <= 1_024);
  t2.ok(intervalMs / 350 <= 2_000);
});
