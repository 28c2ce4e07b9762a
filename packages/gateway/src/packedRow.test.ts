import assert from 'node:assert/strict';
import { deflateRawSync } from 'node:zlib';
import fc from 'fast-check';
import { fastify } from 'fastify';
import { pack, unpack } from 'msgpackr';
import { createReceiveLimits } from '@lovagearch/bounded-http';
import t from 'tap';
import { ManualClock } from '@lovagearch/common';
import { TableMirror } from '@lovagearch/mirror';
import { MAX_PEER_RESPONSE_BYTES, MIN_COMPRESSED_VALUE_LENGTH } from './constants.js';
import { packedRowSchema, packRow, ROW_PACKING, unpackRow } from './packedRow.js';
import { createTableRelaySource, registerTableRoute } from './peerExchange.js';

const ROUTE = '{"host":"a.example","prefix":"/x/","service":"s","timeout_ms":12000}';
const LARGE_VALUE = Buffer.from(ROUTE.repeat(1_000)).toString('base64');

t.test('a packed row arrives as it was', async (t2) => {
  await fc.assert(
    fc.asyncProperty(fc.string(), fc.boolean(), fc.nat(3), async (text, isBase64, repeats) => {
      const long = text.repeat(1 + repeats * MIN_COMPRESSED_VALUE_LENGTH);
      const value = isBase64 ? Buffer.from(long).toString('base64') : long;
      const row = { key: 'k', version: 3, value };
      const sent = unpack(pack(await packRow(row))) as unknown;
      const received = await unpackRow(packedRowSchema.parse(sent));
      // The wire carries UTF-8, which has no form for half a surrogate pair.
      assert.equal(received.value, Buffer.from(value).toString('utf8'));
    }),
    { numRuns: 200 },
  );
  t2.same(await unpackRow(await packRow({ key: 'k', version: 4, value: undefined })), {
    key: 'k',
    version: 4,
    value: undefined,
  });
});

// Guards against links that a configuration of many routes fills when peers pass it on.
t.test('a configuration of many routes shrinks to less than an eighth', async (t2) => {
  const { packed } = await packRow({ key: 'config', version: 1, value: LARGE_VALUE });
  t2.ok(packed !== undefined && packed.bytes.length < LARGE_VALUE.length / 8);
});

const startPeer = async () => {
  const mirror = TableMirror.create('op');
  const rows = [{ key: 'config', version: 2, value: LARGE_VALUE }];
  mirror.applyBatch({ rows, version: 2, isPartial: false, ageMs: 0 }, 0);
  const server = fastify();
  registerTableRoute(server, [mirror], ManualClock.create(), () => true);
  await server.listen({ host: '127.0.0.1', port: 0 });
  const address = server.server.address();
  const port = typeof address === 'object' && address !== null ? address.port : 0;
  return { server, peer: `127.0.0.1:${port}` };
};

t.test('peers exchange packed rows', async (t2) => {
  const { server, peer } = await startPeer();
  const response = await createTableRelaySource(createReceiveLimits())(peer, [
    { table: 'op', version: 0, era: 0 },
  ]);
  const batch = typeof response === 'string' ? undefined : response.get('op');
  t2.equal(batch?.rows[0]?.value, LARGE_VALUE);
  await server.close();
});

// Guards against a node of an earlier release that takes a packed row for a removed one.
t.test('a peer that names no packing gets plain rows', async (t2) => {
  const { server } = await startPeer();
  const plain = await server.inject('/peer/tables?known=op/0');
  const [[, batch]] = unpack(plain.rawPayload) as [[string, { rows: { value?: string }[] }]];
  t2.equal(batch.rows[0]?.value, LARGE_VALUE);
  const packed = await server.inject(`/peer/tables?known=op/0&packing=${ROW_PACKING}`);
  t2.ok(packed.rawPayload.length < plain.rawPayload.length / 8);
  await server.close();
});

// Guards against a malformed row of a peer that ends the process or fills its memory.
t.test('a row that can not be unpacked counts as a malformed response', async (t2) => {
  const bombs = [
    Buffer.from('not compressed'),
    deflateRawSync(Buffer.alloc(MAX_PEER_RESPONSE_BYTES + 1)),
  ];
  for (const bytes of bombs) {
    const server = fastify();
    server.get('/peer/tables', (_request, reply) =>
      reply.send(
        pack([
          [
            'op',
            {
              rows: [{ key: 'k', version: 1, packed: { encoding: 'utf8', bytes } }],
              version: 1,
              isPartial: false,
              ageMs: 0,
            },
          ],
        ]),
      ),
    );
    await server.listen({ host: '127.0.0.1', port: 0 });
    const address = server.server.address();
    const port = typeof address === 'object' && address !== null ? address.port : 0;
    const response = await createTableRelaySource(createReceiveLimits())(`127.0.0.1:${port}`, [
      { table: 'op', version: 0, era: 0 },
    ]);
    t2.type(response, 'string');
    await server.close();
  }
});
