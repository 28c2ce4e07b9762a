import fc from 'fast-check';
import t from 'tap';
import { toId, type AccountId, type AttemptId, type NodeId } from '@lovagearch/common';
import { decodeSegment, encodeSegment } from './segmentCodec.js';
import type { Segment } from './types.js';

const segment: Segment = {
  type: 'records',
  owner: toId<NodeId>('node-1'),
  shards: 8,
  elapsedMs: 12.5,
  records: [
    {
      type: 'finished',
      account: toId<AccountId>('zamu'),
      key: 'claim-1',
      bodyHash: 'b1',
      attempt: toId<AttemptId>('a1'),
      response: {
        status: 201,
        headers: { 'content-type': 'text/plain' },
        body: { type: 'inline', bytes: new Uint8Array([0, 255, 7]) },
      },
    },
  ],
};

// Lost bytes would change a recorded response.
t.test('a response body keeps all its bytes in an encoded segment', async (t2) => {
  const value: unknown = JSON.parse(JSON.stringify(encodeSegment(segment)));
  const record = decodeSegment(value).unwrapOr(undefined)?.records[0];
  if (record?.type !== 'finished' || record.response.body.type !== 'inline') throw new Error();
  t2.same([...record.response.body.bytes], [0, 255, 7]);
  t2.equal(record.response.status, 201);
});

t.test('decoding arbitrary or corrupted rows never throws', async () => {
  const base = Buffer.from(encodeSegment(segment).data, 'base64');
  fc.assert(
    fc.property(fc.uint8Array(), fc.nat(), fc.nat(255), fc.jsonValue(), (bytes, at, byte, json) => {
      const changed = Buffer.from(base);
      changed[at % changed.length] = byte;
      decodeSegment(json);
      decodeSegment({ v: 1, data: Buffer.from(bytes).toString('base64') });
      decodeSegment({ v: 1, data: changed.toString('base64') });
      decodeSegment({ v: 1, data: base.subarray(0, at % base.length).toString('base64') });
    }),
    { numRuns: 500 },
  );
});
