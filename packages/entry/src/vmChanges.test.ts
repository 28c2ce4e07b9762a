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

t.test('an outdated list neither puts a leaving VM back into use nor removes one', async (t2) => {
  const known = [createVm('a', 'leaving'), createVm('b', 'live')];
  t2.same(listVmChanges(known, [createVm('a', 'live')]), []);
  t2.same(mergeVmChanges(known, [createVm('a', 'live')]), known);
});

t.test('new, moved and leaving VMs are listed as changes until they are merged', async (t2) => {
  const known = [createVm('a', 'live'), createVm('b', 'live'), createVm('c', 'live')];
  const changes = [createVm('a', 'leaving'), createVm('b', 'live', 'other'), createVm('d', 'live')];
  t2.same(listVmChanges(known, [...changes, createVm('c', 'live')]), changes);
  t2.same(listVmChanges(mergeVmChanges(known, changes), changes), []);
});

t.test(
  'reads of the VM list stay within the byte budget and within 2 s over all nodes',
  async (t2) => {
    t2.equal(computeReadIntervalMs(0, 1), 2_000);
    t2.equal(computeReadIntervalMs(3_850, 1), 2_000);
    const intervalMs = computeReadIntervalMs(3_850, 350);
    t2.ok((3_850 * 160) / (intervalMs / 1_000) <= 1_024);
    t2.ok(intervalMs / 350 <= 2_000);
  },
);
