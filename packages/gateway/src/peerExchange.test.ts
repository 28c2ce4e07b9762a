import { fastify } from 'fastify';
import { unpack } from 'msgpackr';
import t from 'tap';
import { createReceiveLimits } from '@lovagearch/bounded-http';
import { ManualClock } from '@lovagearch/common';
import { TableMirror } from '@lovagearch/mirror';
import { createTableRelaySource, registerTableRoute } from './peerExchange.js';

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

// Guards against rows that stay in use after their removal, when changes travel through several nodes.
t.test('changes from a peer name the versions that it skipped', async (t2) => {
  const mirror = TableMirror.create('endpoints');
  mirror.applyBatch({ rows: [], version: 3, isPartial: false, ageMs: 0 }, 0);
  mirror.applyBatch({ rows: [], version: 7, isPartial: false, ageMs: 0 }, 0);
  const server = fastify();
  registerTableRoute(server, [mirror], ManualClock.create(), () => true);
  await server.listen({ host: '127.0.0.1', port: 0 });
  const address = server.server.address();
  const port = typeof address === 'object' && address !== null ? address.port : 0;
  const source = createTableRelaySource(createReceiveLimits());
  const response = await source(`127.0.0.1:${port}`, [{ table: 'endpoints', version: 3, era: 0 }]);
  const batch = typeof response === 'string' ? undefined : response.get('endpoints');
  t2.equal(batch?.isPartial, true);
  t2.strictSame(batch?.gaps, [{ afterVersion: 3, untilVersion: 7 }]);
  await server.close();
});
