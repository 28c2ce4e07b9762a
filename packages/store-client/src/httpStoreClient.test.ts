import { computeSha256Hex } from '@lovagearch/common';
import {
  applyFaults,
  getError,
  getStandinFile,
  getValue,
  startProcess,
} from '@lovagearch/standins';
import t from 'tap';
import { request } from 'undici';
import { HttpStoreClient } from './httpStoreClient.js';

const store = await startProcess(getStandinFile('store'), { id: 'store-1', capacityBytes: 100 });
const client = HttpStoreClient.create();
t.teardown(async () => {
  await client.close();
  store.kill();
  await store.waitForExit();
});

const upload = async (id: string, bytes: Buffer, sha256: string): Promise<number> => {
  const headers = { 'x-length': String(bytes.length), 'x-sha256': sha256, 'x-depth': '4' };
  const url = `${store.url()}/v1/segments/${id}`;
  const response = await request(url, { method: 'PUT', headers, body: bytes });
  await response.body.dump();
  return response.statusCode;
};

t.test('an upload with a wrong checksum is rejected and not listed', async (t2) => {
  t2.equal(await upload('ab', Buffer.from('kv'), 'wrong'), 400);
  t2.same(getValue(await client.list(store.url())).segments, []);
});

t.test('a full store rejects an upload and accepts it after a segment is removed', async (t2) => {
  const bytes = Buffer.alloc(60, 1);
  const sha256 = computeSha256Hex(bytes);
  t2.equal(await upload('ab', bytes, sha256), 201);
  t2.equal(await upload('cd', bytes, sha256), 507);
  const { segments } = getValue(await client.list(store.url()));
  t2.match(segments, [{ segmentId: 'ab', depth: 4, bytes: 60, sha256 }]);
  t2.ok((await client.remove(store.url(), 'ab')).isOk());
  t2.equal(await upload('cd', bytes, sha256), 201);
  const status = getValue(await client.readStatus(store.url()));
  t2.match(status, { usedBytes: 60, capacityBytes: 100, segments: 1 });
});

t.test('a store that is down is reported as unavailable, not as empty', async (t2) => {
  await applyFaults(store, { mode: 'down' });
  t2.equal(getError(await client.list(store.url())).type, 'unavailable');
  const absent = await client.readStatus('http://127.0.0.1:1');
  t2.equal(getError(absent).type, 'unavailable');
});
