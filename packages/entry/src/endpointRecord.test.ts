import t from 'tap';
import { toId, type Region } from '@lovagearch/common';
import { createRecord, createView } from './endpointRecord.js';

const VM = {
  id: 'ledger-1',
  role: 'service',
  service: 'ledger',
  host: '127.0.0.1',
  ports: { main: 9_000 },
  zone: 'chiayi',
  region: 'south',
  state: 'live',
} as const;
const SOUTH = toId<Region>('south');

t.test(
  'a response to a running call does not confirm readiness, as the endpoint may be draining',
  async (t2) => {
    const record = createRecord(VM, 'service', undefined);
    const answered = { ...record, localContact: { lastResponseMs: 10_000 } };
    t2.ok(createView(answered, [], SOUTH, 10_000).confirmedAgeMs > 3_000);
    const checked = {
      ...record,
      localContact: { lastResponseMs: 10_000, lastReadyCheckMs: 9_000 },
    };
    t2.equal(createView(checked, [], SOUTH, 10_000).confirmedAgeMs, 1_000);
  },
);

t.test('load from a heartbeat is used, but does not confirm readiness', async (t2) => {
  const record = createRecord(VM, 'runner', undefined);
  const load = { queuedPromptTokens: 70, activeSequences: 2, cacheUse: 0.5, ageMs: 0 };
  const view = createView(
    { ...record, localContact: { load, loadReceivedMs: 9_990 } },
    [],
    SOUTH,
    10_000,
  );
  t2.match(view.load, { queuedPromptTokens: 70, ageMs: 10 });
  t2.ok(view.confirmedAgeMs > 3_000);
});
