import {
  applyFaults,
  getError,
  getStandinFile,
  getValue,
  sendControl,
  startProcess,
} from '@lovagearch/standins';
import t from 'tap';
import { HttpObjectClient } from './objectClient.js';
import { HttpTableClient } from './tableClient.js';
import { HttpVmListClient } from './vmListClient.js';

const platform = await startProcess(getStandinFile('platform'), { id: 'platform-1' });
const table = HttpTableClient.create({ url: platform.url(), readBackPauseMs: 1 });
const objects = HttpObjectClient.create({ url: platform.url() });
t.teardown(async () => {
  await Promise.all([table.close(), objects.close()]);
  platform.kill();
  await platform.waitForExit();
});
t.beforeEach(async () => applyFaults(platform, {}));

t.test('a stale writer does not overwrite a newer row', async (t2) => {
  t2.equal(getValue(await table.read('a')), null);
  t2.same(getValue(await table.write('a', { n: 1 }, 0, 'one')), { version: 1 });
  const conflict = getError(await table.write('a', { n: 2 }, 0, 'two'));
  t2.match(conflict, { type: 'conflict', current: { attemptId: 'one', value: { n: 1 } } });
  t2.ok((await table.write('a', { n: 3 }, 1, 'three')).isOk());
  t2.match(getError(await table.remove('a', 1)), { type: 'conflict' });
  t2.ok((await table.remove('a', 2)).isOk());
});

t.test('paging neither skips nor repeats rows, also with unusual characters', async (t2) => {
  for (const key of ['p/1', 'p/2', 'p/ü %']) await table.write(key, key, undefined, key);
  const first = getValue(await table.list('p/', undefined, 2));
  const second = getValue(await table.list('p/', first.next ?? '', 2));
  const keys = [...first.rows, ...second.rows].map(({ key }) => key);
  t2.same(keys, ['p/1', 'p/2', 'p/ü %']);
  t2.equal(second.next, null);
});

t.test('a write whose answer was lost is not repeated and not reported as failed', async (t2) => {
  await applyFaults(platform, { table: 'error_after_effect' });
  const lost = getError(await table.write('b', 1, 0, 'first'));
  t2.equal(lost.type, 'outcome_unknown', 'reads fail as well');
  await applyFaults(platform, {});
  t2.match(getValue(await table.read('b')), { version: 1, attemptId: 'first' });
});

t.test('a table that is down before any effect does not count as written', async (t2) => {
  await applyFaults(platform, { table: 'down' });
  t2.equal(getError(await table.read('c')).type, 'unavailable');
  t2.equal(getError(await table.write('c', 1, 0, 'x')).type, 'outcome_unknown');
});

t.test('a table that nobody listens for is reported as not written', async (t2) => {
  const absent = HttpTableClient.create({ url: 'http://127.0.0.1:1' });
  t2.equal(getError(await absent.write('c', 1, 0, 'x')).type, 'unavailable');
  await absent.close();
});

t.test('objects are whole, and a failing store is not reported as an absent object', async (t2) => {
  const bytes = Buffer.from('bundle');
  t2.ok((await objects.write('configuration/ab', bytes)).isOk());
  t2.same(getValue(await objects.read('configuration/ab')), bytes);
  t2.equal(getError(await objects.read('none')).type, 'not_found');
  await applyFaults(platform, { objects: 'down' });
  t2.equal(getError(await objects.read('configuration/ab')).type, 'unavailable');
});

t.test('the VM list shows what was set', async (t2) => {
  const vm = {
    id: 'r1',
    role: 'runner',
    service: 'estimator',
    host: '127.0.0.1',
    ports: { main: 1 },
    zone: 'tainan',
    region: 'south',
    state: 'live',
  };
  await sendControl(platform, 'PUT', '/control/vms', { vms: [vm] });
  const list = HttpVmListClient.create({ url: platform.url() });
  t2.same(getValue(await list.read()), [vm]);
  await list.close();
});
