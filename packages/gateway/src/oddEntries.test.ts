import t from 'tap';
import { startGateway } from './index.js';
import {
  createDependencies,
  createRows,
  FakeEndpoint,
  send,
  SETTINGS,
  waitUntilReady,
} from './testGateway.js';
import { FakeSharedTable } from './testSharedTable.js';

const REQUESTS = 30;
const ODD_ADDRESSES = ['127.0.0.1:99999', '127.0.0.1:0', 'no address', '127.0.0.1', ''];

// Guards against a process that ends, or no longer follows its tables, because of an odd row.
t.test('odd rows of the shared table neither end the process nor hide later rows', async (t2) => {
  const endpoint = new FakeEndpoint();
  const rows = createRows([await endpoint.start()]);
  const shared = new FakeSharedTable();
  const gateway = await startGateway(SETTINGS, createDependencies(rows, shared), '/ready');
  await waitUntilReady(gateway);
  for (const [index, address] of ODD_ADDRESSES.entries())
    shared.write(`peer/odd-${index}`, { address, loadAddress: address, zone: 'z1' });
  for (const value of [null, 1e308, '', { strikes: [[1]] }, { crashes: [['a', [['b']]]] }]) {
    for (const key of ['peer/', 'order/', 'order/__proto__', 'strikes/x', 'crashes/x'])
      shared.write(key, value);
    await shared.waitUntilRead(1, /odd-/, 0);
  }
  for (const attemptId of [{ toString: 1 }, ['a'], 1e308]) {
    shared.write('lease/orders', { attemptId, holder: attemptId });
    // The follower waits for the next change, so it has applied the row.
    await shared.waitUntilRead(1, /odd-/, 0);
  }
  // Load digests are sent to the peers meanwhile.
  for (let index = 0; index < REQUESTS; index++)
    t2.equal((await send(gateway, '/read/x', `s${index}`)).status, 200);
  await gateway.drain('test');
  endpoint.stop();
});

// Guards against callers whose connections are closed because a registration names an invalid port.
t.test(
  'requests are served beside registrations with addresses that can not be used',
  async (t2) => {
    const endpoint = new FakeEndpoint();
    const rows = createRows([await endpoint.start()]);
    const [known] = rows.get('endpoints') ?? [];
    const record = JSON.parse(known?.value ?? '') as Record<string, unknown>;
    const odd = ODD_ADDRESSES.slice(0, 3).map((address, index) => {
      const id = `odd-${index}`;
      return { key: id, version: 1, value: JSON.stringify({ ...record, id, address }) };
    });
    rows.get('endpoints')?.push(...odd);
    const gateway = await startGateway(SETTINGS, createDependencies(rows), '/ready');
    const statuses = new Set<number | string>();
    while (!statuses.has(200)) {
      for (let index = 0; index < REQUESTS; index++) {
        const answer = await send(gateway, '/read/x', `r${index}`).catch(() => 'closed' as const);
        statuses.add(typeof answer === 'string' ? answer : answer.status);
      }
    }
    t2.notOk(statuses.has('closed'), [...statuses].join());
    await gateway.drain('test');
    endpoint.stop();
  },
);
