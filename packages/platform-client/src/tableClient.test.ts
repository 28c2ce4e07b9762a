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
const table = HttpTableClient.create({ url: platform.url(), readBackDelayMs: 1 });
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

t.test('paging neither skips nor repeats rows, also with special characters', async (t2) => {
  for (const key of ['p/1', 'p/2', 'p/ü %']) await table.write(key, key, undefined, key);
  const first = getValue(await table.list('p/', undefined, 2));
  const second = getValue(await table.list('p/', first.next ?? '', 2));
  const keys = [...first.rows, ...second.rows].map(({ key }) => key);
  t2.same(keys, ['p/1', 'p/2', 'p/ü %']);
  t2.equal(second.next, null);
});

t.test('a write whose response was lost is resolved by its attempt id, not retried', async (t2) => {
  for (const tableFault of ['lost_answers', 'error_after_effect']) {
    await applyFaults(platform, { table: tableFault, writesOnly: true });
    t2.same(getValue(await table.write(tableFault, 1, 0, 'first')), { version: 1 });
    await applyFaults(platform, {});
    t2.match(getValue(await table.read(tableFault)), { version: 1, attemptId: 'first' });
  }
});

t.test('a write without a response has an unknown outcome while reads fail as well', async (t2) => {
  await applyFaults(platform, { table: 'lost_answers' });
  t2.equal(getError(await table.write('b', 1, 0, 'first')).type, 'outcome_unknown');
  t2.equal(getError(await table.remove('b', 9)).type, 'outcome_unknown');
  await applyFaults(platform, {});
  t2.match(getValue(await table.read('b')), { version: 1, attemptId: 'first' });
});

t.test('a write that is still in flight has an unknown outcome', async (t2) => {
  const shortTimeoutClient = HttpTableClient.create({
    url: platform.url(),
    timeoutMs: 100,
    readBackAttempts: 1,
  });
  await applyFaults(platform, { table: 'slow', delayMs: 1_000, writesOnly: true });
  t2.equal(getError(await shortTimeoutClient.write('d', 1, 0, 'late')).type, 'outcome_unknown');
  await shortTimeoutClient.close();
});

t.test('the limit on concurrent requests rejects before anything is sent', async (t2) => {
  const singleCallClient = HttpTableClient.create({ url: platform.url(), maxConcurrentCalls: 1 });
  const first = singleCallClient.read('a');
  t2.equal(getError(await singleCallClient.write('e', 1, 0, 'x')).type, 'unavailable');
  t2.ok((await first).isOk());
  t2.ok((await singleCallClient.write('e', 1, 0, 'x')).isOk(), 'the slot is released');
  await singleCallClient.close();
});

t.test('a write that the table rejects by its rate limit is not applied', async (t2) => {
  const rateLimitedPlatform = await startProcess(getStandinFile('platform'), {
    writesPerSecond: 1,
  });
  const client = HttpTableClient.create({ url: rateLimitedPlatform.url() });
  const results = await Promise.all(
    Array.from({ length: 20 }, (_, index) => client.write('row', index, undefined, `a${index}`)),
  );
  const refused = results.filter((result) => result.isErr());
  t2.ok(refused.length > 0);
  for (const result of refused) t2.equal(getError(result).type, 'unavailable');
  t2.equal(getValue(await client.read('row'))?.version, results.length - refused.length);
  await client.close();
  rateLimitedPlatform.kill();
  t2.equal((await rateLimitedPlatform.waitForExit()).code, 0);
});

t.test('a write to a table that is down is not reported as written', async (t2) => {
  await applyFaults(platform, { table: 'down' });
  t2.equal(getError(await table.read('c')).type, 'unavailable');
  t2.equal(getError(await table.write('c', 1, 0, 'x')).type, 'outcome_unknown');
});

t.test('a write whose connection is refused is reported as not written', async (t2) => {
  const unreachableClient = HttpTableClient.create({ url: 'http://127.0.0.1:1' });
  t2.equal(getError(await unreachableClient.write('c', 1, 0, 'x')).type, 'unavailable');
  await unreachableClient.close();
});

t.test(
  'reads verify the checksum, and a failing store does not look like a missing object',
  async (t2) => {
    const bytes = Buffer.from('bundle');
    t2.ok((await objects.write('configuration/ab', bytes)).isOk());
    t2.same(getValue(await objects.read('configuration/ab')), bytes);
    t2.equal(getError(await objects.read('none')).type, 'not_found');
    await applyFaults(platform, { objects: 'altered_read' });
    t2.equal(getError(await objects.read('configuration/ab')).type, 'checksum_mismatch');
    await applyFaults(platform, { objects: 'down' });
    t2.equal(getError(await objects.read('configuration/ab')).type, 'unavailable');
  },
);

t.test('the VM list returns the VMs that were set', async (t2) => {
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
