import { toId } from '@lovagearch/common';
import t from 'tap';
import { NodeReadiness } from './nodeReadiness.js';
import type { EndpointView } from './types.js';

const createView = (id: string, state: EndpointView['state']): EndpointView => ({
  id: toId(id),
  service: toId('ledger'),
  kind: 'service',
  url: 'http://127.0.0.1:1',
  region: toId('south'),
  zone: toId('chiayi'),
  state,
  models: [],
  load: { queuedPromptTokens: 0, activeSequences: 0, cacheUse: 0, ageMs: 0 },
  boot: '',
  confirmedAgeMs: 0,
});

t.test('a node that starts is not ready before it knows a ready endpoint', async (t2) => {
  let views: EndpointView[] = [];
  let nowMs = 0;
  const readiness = NodeReadiness.create({ nowMs: () => nowMs }, () => views);
  t2.notOk(readiness.check(), 'no VM list was read');
  readiness.recordVmList();
  views = [createView('ledger-1', 'loading'), createView('ledger-2', 'loading')];
  t2.notOk(readiness.check(), 'no endpoint is confirmed');
  views = [createView('ledger-1', 'loading'), createView('ledger-2', 'ready')];
  t2.ok(readiness.check());
  views = [createView('ledger-1', 'loading')];
  t2.ok(readiness.check(), 'a lost endpoint does not take the node out of rotation');
  const late = NodeReadiness.create({ nowMs: () => nowMs }, () => views);
  nowMs += 10_000;
  t2.ok(late.check(), 'a service without endpoints must not keep a node out for good');
});
