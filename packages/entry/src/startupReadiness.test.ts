import { toId } from '@lovagearch/common';
import t from 'tap';
import { StartupReadiness } from './startupReadiness.js';
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

t.test(
  'a starting node becomes ready with its first ready endpoint or after 10 s, and stays ready',
  async (t2) => {
    let views: EndpointView[] = [];
    let nowMs = 0;
    const readiness = StartupReadiness.create({ nowMs: () => nowMs }, () => views);
    t2.notOk(readiness.check(), 'no VM list has been read');
    readiness.recordVmList();
    views = [createView('ledger-1', 'loading'), createView('ledger-2', 'loading')];
    t2.notOk(readiness.check(), 'no endpoint is ready');
    views = [createView('ledger-1', 'loading'), createView('ledger-2', 'ready')];
    t2.ok(readiness.check());
    views = [createView('ledger-1', 'loading')];
    t2.ok(readiness.check(), 'losing an endpoint does not revert readiness');
    const late = StartupReadiness.create({ nowMs: () => nowMs }, () => views);
    nowMs += 10_000;
    t2.ok(late.check(), 'a service without ready endpoints does not block readiness forever');
  },
);
