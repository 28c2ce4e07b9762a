import { fastify } from 'fastify';
import { unpack } from 'msgpackr';
import t from 'tap';
import { ManualClock } from '@lovagearch/common';
import { TableMirror } from '@lovagearch/mirror';
import { registerTableRoute } from './peerExchange.js';

// Guards against peers that remove live endpoints, whose entries expired in an outage, before they register again.
t.test('a copy that may lack live endpoints is not served to peers', async (t2) => {
  const mirrors = ['operator', 'endpoints'].map((table) => TableMirror.create(table));
  for (const mirror of mirrors) {
    mirror.applyBatch({ rows: [], version: 3, isPartial: false, ageMs: 0 }, 0);
  }
  let mayLackEndpoints = true;
  const server = fastify();
  const isServable = (table: string) => table !== 'endpoints' || !mayLackEndpoints;
  registerTableRoute(server, mirrors, ManualClock.create(), isServable);
  const listServed = async () => {
    const response = await server.inject('/peer/tables?known=operator/1,endpoints/1');
    return (unpack(response.rawPayload) as [string, unknown][]).map(([table]) => table);
  };
  t2.strictSame(await listServed(), ['operator']);
  mayLackEndpoints = false;
  t2.strictSame(await listServed(), ['operator', 'endpoints']);
  await server.close();
});
